"""Planted faults of membership, order and ledger, for tests of the checkers."""

from contextlib import contextmanager

from frostpost.ledger import apply as applying
from frostpost.ledger import keys, programs
from frostpost.ledger.entities import ConfigVersion
from frostpost.ledger.results import ConfigSet, Won
from frostpost.virtual_synchrony import (
    acknowledgements,
    catch_up,
    delivery,
    leases,
    membership,
    ordering,
    primary_component,
    recovery,
    step,
)
from frostpost.virtual_synchrony.events import EntryDelivered


def ack_unsynced(synchrony, out):
    """Plant: acknowledge entries before they are synced."""
    order = synchrony.order
    while order.received_watermark + 1 in order.pending:
        order.received_watermark += 1
        if synchrony.has_log and synchrony.primary.ready_record_number >= 0:
            delivery.append_to_log(synchrony, out, order.pending[order.received_watermark])
    if not synchrony.recovery:
        order.synced_watermark = order.received_watermark
        acknowledgements.send_ack(synchrony, out, order.received_watermark)


def any_voter(primary, present):
    """Plant: one voter is enough for a primary."""
    return any(v in present for v in primary.voters)


def old_length(plan, name):
    """Plant: compute the new base from the length before the recovery."""
    return plan[name].durable_state.length


def eager_deliver(synchrony, out):
    """Plant: deliver what is not yet safe."""
    synchrony.order.safe_watermark = max(synchrony.order.safe_watermark, synchrony.order.received_watermark)
    order = synchrony.order
    while order.delivered_watermark < order.safe_watermark and order.delivered_watermark < order.received_watermark:
        order.delivered_watermark += 1
        entry = order.pending[order.delivered_watermark]
        out.notifications.append(EntryDelivered(entry, False, synchrony.primary.eligible))
        if synchrony.primary.eligible:
            delivery.queue_for_apply(synchrony, out, entry)


def ever_leased(synchrony, now_ms):
    """Plant: a lease never ends."""
    return synchrony.primary.opened


def free_claim(ledger, entry, op):
    """Plant: everybody wins a key."""
    return Won(entry.index)


def no_compare(ledger, entry, op):
    """Plant: take a configuration without comparing its version."""
    mark = ledger.configs.get(op.path)
    version = op.if_version + 1
    ledger.configs[op.path] = ConfigVersion(version, op.digest, op.size, op.source, op.number, entry.index)
    return ConfigSet(version, entry.index) if mark is None or version else None


def loose_reserve(ledger, entry, op):
    """Plant: forget what a program spent."""
    program = ledger.programs.get(op.program)
    if program is not None:
        program.spent = 0
    return KEPT["reserve"](ledger, entry, op)


def eager_drain(synchrony, out):
    """Plant: apply entries before the configuration opens."""
    synchrony.primary.open_committed = True
    KEPT["drain"](synchrony, out)


def forget(synchrony, out, record):
    """Plant: do not write a promise."""
    return synchrony.written_count


def no_unlatch(synchrony, out, index, state):
    """Plant: wait for an open configuration after a refill."""
    opened = synchrony.primary.opened
    KEPT["refill"](synchrony, out, index, state)
    synchrony.primary.opened = opened


def no_union(synchrony, out):
    """Plant: do not send again what others lack."""
    synchrony.recovery.ordinals_to_rebroadcast = {}


def late_self(synchrony, out, entries):
    """Plant: drop own entries."""
    return None


KEPT = {
    "reserve": programs.reserve,
    "drain": delivery.apply_pending,
    "refill": catch_up.install_snapshot,
}
PLANTS = {
    "ack_unsynced": [
        (ordering, "advance_received_watermark", ack_unsynced),
        (recovery, "advance_received_watermark", ack_unsynced),
    ],
    "commit_on_receipt": [(acknowledgements, "majority_watermark", lambda voters, watermarks: 1 << 40)],
    "minority_primary": [(primary_component, "has_quorums", any_voter), (recovery, "has_quorums", any_voter)],
    "base_before_rebroadcast": [(primary_component, "recovered_length", old_length)],
    "deliver_unsafe": [(ordering, "deliver_safe_entries", eager_deliver)],
    "no_lease": [(leases, "holds_lease", ever_leased)],
    "free_claim": [(keys, "claim", free_claim)],
    "no_compare": [(applying, "set_config", no_compare)],
    "budget_forgotten": [(programs, "reserve", loose_reserve)],
    "no_rebroadcast": [(recovery, "send_rebroadcasts", no_union)],
    "apply_before_open": [(delivery, "apply_pending", eager_drain)],
    "forget_promise": [(membership, "write_record", forget)],
    "wait_for_open": [(catch_up, "install_snapshot", no_unlatch)],
    "drop_own": [(ordering, "take_entries", late_self)],
}


def planted(name, table=PLANTS):
    """Context manager: put a planted fault into the code; nothing for an unknown name."""
    return changed(table.get(name, []))


@contextmanager
def changed(changes):
    """Context manager: set module attributes, given as (module, attribute, value), and set them back at the end.

    A function that handles a type of message is replaced in the table of handlers too.
    """
    originals = [(module, name, getattr(module, name)) for module, name, _ in changes]
    handlers = dict(step.HANDLERS)
    for (module, name, replacement), (_, _, original) in zip(changes, originals, strict=True):
        setattr(module, name, replacement)
        step.HANDLERS.update({kind: replacement for kind, handler in handlers.items() if handler is original})
    try:
        yield
    finally:
        step.HANDLERS.update(handlers)
        for module, name, original in originals:
            setattr(module, name, original)
