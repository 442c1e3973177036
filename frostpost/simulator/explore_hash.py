"""Hashes of the model checker's worlds: equal for states that act alike, whatever their clocks and counters show."""

from functools import cache
from hashlib import blake2b

from msgspec import msgpack

from frostpost.virtual_synchrony.acknowledgements import is_sync_slow
from frostpost.virtual_synchrony.durable_log import replay

OLD_MS = 2000
OLD_SHUN_MS = 11000
# Counters of statistics and of how often addresses were told again; marks on the disk, which `unsynced` tells apart.
UNOBSERVED = {
    "counts",
    "bounds",
    "endpoint",
    "written_count",
    "synced_count",
    "pending_acks",
    "ready_record_number",
    "sync_target",
    "announced_periods",
    "work",
    "state",
}
WHOLE = {tuple, list, set, frozenset, bytearray}
SIMPLE = {int, str, bytes, bool, float, type(None)}
encode = msgpack.Encoder(order="deterministic").encode


@cache
def observed_fields(kind):
    """Fields of a record type that further steps depend on; None for frozen types, which are compared whole."""
    return None if kind.__struct_config__.frozen else tuple(f for f in kind.__struct_fields__ if f not in UNOBSERVED)


def canonical(value, now_ms):
    """A value that is equal for states that act alike: clocks as ages, counters left out, unordered things in order."""
    kind = type(value)
    if kind in SIMPLE:
        return value
    if kind is dict:
        return sorted((canonical(k, now_ms), canonical(v, now_ms)) for k, v in value.items())
    if kind in WHOLE:
        return encode(value)
    fields = observed_fields(kind)
    if fields is None:
        return encode(value)
    return [
        canonical(aged(f, getattr(value, f), now_ms) if f[-3:] == "_ms" else getattr(value, f), now_ms) for f in fields
    ]


def aged(name, value, now_ms):
    """Moments as ages, none older than any rule looks back; without a clock only whether a peer was heard counts."""
    if now_ms is None:
        return name == "heard_ms" and value >= 0
    if isinstance(value, dict):
        return {k: aged(name, v, now_ms) for k, v in value.items()}
    return max(value - now_ms, -(OLD_SHUN_MS if name == "excluded_until_ms" else OLD_MS))


def unsynced(synchrony):
    """How far the protocol's waits for the disk are from being met."""
    recovery = synchrony.recovery
    marks = [synchrony.written_count, synchrony.primary.ready_record_number, recovery.sync_target if recovery else -1]
    waits = [
        (ack.record_number - synchrony.synced_count, ack.watermark)
        for ack in synchrony.pending_acks
        if ack.record_number > synchrony.synced_count
    ]
    waits.append((0, is_sync_slow(synchrony)))
    return [mark if mark < 0 else max(0, mark - synchrony.synced_count) for mark in marks] + waits


def replica_digest(replica, now_ms):
    """The hash of all that a replica's further steps depend on."""
    core = replica.core
    held = None
    if core is not None:
        synchrony = core.synchrony
        held = [
            canonical(synchrony, now_ms),
            unsynced(synchrony),
            canonical(core.snapshots, now_ms),
            [synchrony.local_member.incarnation, core.ledger.index, core.ledger.voters],
        ]
    lasting = canonical(replay(replica.disk.synced), now_ms)
    pending = [encode(record) for record in replica.disk.pending]
    return short_hash(encode([held, lasting, pending, replica.disk.syncing, replica.disk.boots, replica.frozen]))


def short_hash(data):
    """Sixteen bytes: among ten million states two that differ share one with a chance below 1 in 10^24."""
    return blake2b(data, digest_size=16).digest()


def clock_of(world):
    """The time, None where there is no clock."""
    return world.now_ms if world.scenario.timed else None


def history_digest(world):
    """The past as invariants see it."""
    history = world.history
    opened = [(o.id, aged("installed_ms", o.installed_ms, clock_of(world))) for o in history.opened]
    return encode([history.committed, opened, sorted(history.wiped), history.requested_voters])


def fingerprint(world, with_spent=True):
    """The hash of a world; with what has been spent of the budget, where more moves may follow."""
    parts = []
    for replica in world.replicas.values():
        if not replica.digest or world.scenario.timed:
            replica.digest = replica_digest(replica, clock_of(world))
        parts.append(replica.digest)
    parts += [item.digest for item in world.queue] + [b"late"] + [item.digest for item in world.late]
    parts += [encode(sorted(world.cuts)), history_digest(world)]
    if with_spent:
        parts.append(encode(sorted(world.spent.items())))
    return short_hash(b"".join(parts))
