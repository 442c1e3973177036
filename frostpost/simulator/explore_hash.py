"""Hashes of the model checker's worlds. States that behave alike hash alike, whatever their clocks and counters."""

from functools import cache
from hashlib import blake2b

from msgspec import msgpack

from frostpost.virtual_synchrony.acknowledgements import is_sync_slow
from frostpost.virtual_synchrony.durable_log import replay

MAX_AGE_MS = 2000
MAX_EXCLUSION_AGE_MS = 11000
# Statistics and repetition counters, sizes that follow from other fields, and record numbers, which `pending_syncs`
# covers relative to the last sync.
IGNORED_FIELDS = {
    "counts",
    "bounds",
    "endpoint",
    "written_count",
    "synced_count",
    "pending_acks",
    "ready_record_number",
    "sync_target",
    "announced_periods",
    "rebroadcast_rounds",
    "outbox_bytes",
    "undelivered_bytes",
    "entries_bytes",
    "snapshot_bytes",
    "work",
    "state",
}
ENCODED_TYPES = {tuple, list, set, frozenset, bytearray}
SCALAR_TYPES = {int, str, bytes, bool, float, type(None)}
encode = msgpack.Encoder(order="deterministic").encode


@cache
def hashed_fields(kind):
    """Return the fields of a struct type that affect later steps; None for frozen types, which are encoded whole."""
    return (
        None if kind.__struct_config__.frozen else tuple(f for f in kind.__struct_fields__ if f not in IGNORED_FIELDS)
    )


def canonical_value(value, now_ms):
    """Return a value that is equal for states that behave alike.

    Times are relative to now, ignored fields are left out and dictionaries are sorted.
    """
    kind = type(value)
    if kind in SCALAR_TYPES:
        return value
    if kind is dict:
        return sorted((canonical_value(k, now_ms), canonical_value(v, now_ms)) for k, v in value.items())
    if kind in ENCODED_TYPES:
        return encode(value)
    fields = hashed_fields(kind)
    if fields is None:
        return encode(value)
    return [
        canonical_value(relative_time(f, getattr(value, f), now_ms) if f[-3:] == "_ms" else getattr(value, f), now_ms)
        for f in fields
    ]


def relative_time(name, value, now_ms):
    """Return a time relative to now, clamped to the longest interval that any rule considers.

    Without a clock, only whether a heartbeat was ever received matters.
    """
    if now_ms is None:
        return name == "heard_ms" and value >= 0
    if isinstance(value, dict):
        return {k: relative_time(name, v, now_ms) for k, v in value.items()}
    return max(value - now_ms, -(MAX_EXCLUSION_AGE_MS if name == "excluded_until_ms" else MAX_AGE_MS))


def pending_syncs(synchrony):
    """Return the number of records that must still be synced for each wait of the protocol on the disk."""
    recovery = synchrony.recovery
    targets = [synchrony.written_count, synchrony.primary.ready_record_number, recovery.sync_target if recovery else -1]
    acks = [
        (ack.record_number - synchrony.synced_count, ack.watermark)
        for ack in synchrony.pending_acks
        if ack.record_number > synchrony.synced_count
    ]
    acks.append((0, is_sync_slow(synchrony)))
    return [target if target < 0 else max(0, target - synchrony.synced_count) for target in targets] + acks


def replica_digest(replica, now_ms):
    """Return the hash of all state that affects a replica's later steps."""
    core = replica.core
    memory = None
    if core is not None:
        synchrony = core.synchrony
        memory = [
            canonical_value(synchrony, now_ms),
            pending_syncs(synchrony),
            canonical_value(core.snapshots, now_ms),
            [synchrony.local_member.incarnation, core.ledger.index, core.ledger.voters],
        ]
    durable = canonical_value(replay(replica.disk.synced), now_ms)
    pending = [encode(record) for record in replica.disk.pending]
    return short_hash(
        encode([memory, durable, pending, replica.disk.syncing_count, replica.disk.boot_count, replica.frozen])
    )


def short_hash(data):
    """Return a 16-byte hash: the chance of a collision among ten million states is below 1 in 10^24."""
    return blake2b(data, digest_size=16).digest()


def clock_ms(world):
    """Return the current time, or None in an untimed scenario."""
    return world.now_ms if world.scenario.timed else None


def history_digest(world):
    """Return the encoded history, as far as invariants depend on it."""
    history = world.history
    opened = [(o.id, relative_time("installed_ms", o.installed_ms, clock_ms(world))) for o in history.opened_primaries]
    return encode([history.committed, opened, sorted(history.wiped_replicas), history.requested_voters])


def fingerprint(world, include_budget=True):
    """Return the hash of a world, with the budget used so far if more moves may follow."""
    parts = []
    for replica in world.replicas.values():
        if not replica.digest or world.scenario.timed:
            replica.digest = replica_digest(replica, clock_ms(world))
        parts.append(replica.digest)
    parts += [item.digest for item in world.queue] + [b"late"] + [item.digest for item in world.delayed]
    parts += [encode(sorted(world.blocked_links)), history_digest(world)]
    if include_budget:
        parts.append(encode(sorted(world.used_budget.items())))
    return short_hash(b"".join(parts))
