"""Planted faults in membership, ordering and the ledger, with which tests verify that the checks detect violations."""

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


def acknowledge_unsynced(synchrony, out):
    """Acknowledge entries before they are synced."""
    order = synchrony.order
    while order.received_watermark + 1 in order.pending:
        order.received_watermark += 1
        if synchrony.has_log and synchrony.primary.ready_record_number >= 0:
            delivery.append_to_log(synchrony, out, order.pending[order.received_watermark])
    if not synchrony.recovery:
        order.synced_watermark = order.received_watermark
        acknowledgements.send_ack(synchrony, out, order.received_watermark)


def any_voter(primary, present):
    """Accept a single voter as a quorum of a primary."""
    return any(v in present for v in primary.voters)


def length_before_recovery(plan, name):
    """Compute the new base from a member's log length before the recovery."""
    return plan[name].durable_state.length


def deliver_unsafe(synchrony, out):
    """Deliver entries that are received and not yet safe."""
    synchrony.order.safe_watermark = max(synchrony.order.safe_watermark, synchrony.order.received_watermark)
    order = synchrony.order
    while order.delivered_watermark < order.safe_watermark and order.delivered_watermark < order.received_watermark:
        order.delivered_watermark += 1
        entry = order.pending[order.delivered_watermark]
        out.notifications.append(EntryDelivered(entry, False, synchrony.primary.eligible))
        if synchrony.primary.eligible:
            delivery.queue_for_apply(synchrony, out, entry)


def never_expiring_lease(synchrony, now_ms):
    """Hold a lease as long as the primary is open, without expiry."""
    return synchrony.primary.opened


def claim_always_wins(ledger, entry, op):
    """Let every claim of a key win."""
    return Won(entry.index)


def set_config_unchecked(ledger, entry, op):
    """Set a configuration without comparing its version."""
    previous = ledger.configs.get(op.path)
    version = op.if_version + 1
    ledger.configs[op.path] = ConfigVersion(version, op.digest, op.size, op.source, op.number, entry.index)
    return ConfigSet(version, entry.index) if previous is None or version else None


def reserve_without_spent(ledger, entry, op):
    """Reset what a program has spent before each reservation."""
    program = ledger.programs.get(op.program)
    if program is not None:
        program.spent = 0
    return ORIGINALS["reserve"](ledger, entry, op)


def apply_before_open(synchrony, out):
    """Apply entries before the primary's first entry is delivered."""
    synchrony.primary.open_committed = True
    ORIGINALS["apply_pending"](synchrony, out)


def skip_record(synchrony, out, record):
    """Do not write a promise to the log."""
    return synchrony.written_count


def install_snapshot_unopened(synchrony, out, index, state):
    """Do not open the primary when a snapshot past its first entry is installed."""
    opened = synchrony.primary.opened
    ORIGINALS["install_snapshot"](synchrony, out, index, state)
    synchrony.primary.opened = opened


def skip_rebroadcast(synchrony, out):
    """Do not rebroadcast the entries that other members lack."""
    synchrony.recovery.ordinals_to_rebroadcast = {}


def drop_entries(synchrony, out, entries):
    """Drop all entries, own and received."""
    return None


ORIGINALS = {
    "reserve": programs.reserve,
    "apply_pending": delivery.apply_pending,
    "install_snapshot": catch_up.install_snapshot,
}
PLANTS = {
    "ack_unsynced": [
        (ordering, "advance_received_watermark", acknowledge_unsynced),
        (recovery, "advance_received_watermark", acknowledge_unsynced),
    ],
    "commit_on_receipt": [(acknowledgements, "majority_watermark", lambda voters, watermarks: 1 << 40)],
    "minority_primary": [(primary_component, "has_quorums", any_voter), (recovery, "has_quorums", any_voter)],
    "base_before_rebroadcast": [(primary_component, "recovered_length", length_before_recovery)],
    "deliver_unsafe": [(ordering, "deliver_safe_entries", deliver_unsafe)],
    "no_lease": [(leases, "holds_lease", never_expiring_lease)],
    "free_claim": [(keys, "claim", claim_always_wins)],
    "no_compare": [(applying, "set_config", set_config_unchecked)],
    "budget_forgotten": [(programs, "reserve", reserve_without_spent)],
    "no_rebroadcast": [(recovery, "send_rebroadcasts", skip_rebroadcast)],
    "apply_before_open": [(delivery, "apply_pending", apply_before_open)],
    "forget_promise": [(membership, "write_record", skip_record)],
    "wait_for_open": [(catch_up, "install_snapshot", install_snapshot_unopened)],
    "drop_own": [(ordering, "take_entries", drop_entries)],
}


def planted(name, table=PLANTS):
    """Context manager: plant the named fault; does nothing if the table has no such name."""
    return patched_attributes(table.get(name, []))


@contextmanager
def patched_attributes(patches):
    """Context manager: set module attributes, given as (module, attribute, value), and restore them at the end.

    A replaced message handler is replaced in the protocol's table of handlers too.
    """
    originals = [(module, name, getattr(module, name)) for module, name, _ in patches]
    handlers = dict(step.HANDLERS)
    for (module, name, replacement), (_, _, original) in zip(patches, originals, strict=True):
        setattr(module, name, replacement)
        step.HANDLERS.update({kind: replacement for kind, handler in handlers.items() if handler is original})
    try:
        yield
    finally:
        step.HANDLERS.update(handlers)
        for module, name, original in originals:
            setattr(module, name, original)
