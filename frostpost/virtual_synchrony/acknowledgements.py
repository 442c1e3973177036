"""What members acknowledge, and up to where the sequencer may declare the order safe.

An entry is safe once every member has received it, and a majority of the voters holds it on disk. Usually both are told
with one acknowledgement, after the sync. A member whose log is slow to sync tells of the receipt apart and at once, so
that its disk doesn't set the pace of the others; its own log follows behind.
"""

from .durable_log import voters_in
from .members import member_names, sequencer_of
from .messages import BatchAck, SafeUpdate
from .quorum import majority_watermark
from .state import PendingAck, increment_counter


def keeps_log(synchrony):
    """Whether this member has a log that is bound to the primary: what it receives goes to its disk."""
    return synchrony.has_log and synchrony.primary.ready_record_number >= 0


def acknowledge_received(synchrony, out):
    """Acknowledge all up to the received watermark: at once where nothing waits for the disk, else after the sync."""
    order = synchrony.order
    if synchrony.recovery:
        return
    if keeps_log(synchrony) and synchrony.written_count > synchrony.synced_count:
        add_pending_ack(synchrony)
        if is_sync_slow(synchrony):
            send_receipt(synchrony, out)
        return
    if keeps_log(synchrony):
        order.synced_watermark = order.received_watermark
    send_ack(synchrony, out, order.received_watermark)


def add_pending_ack(synchrony):
    """Note that the received watermark is to be acknowledged once all that is written is synced."""
    ack = PendingAck(synchrony.written_count, synchrony.order.received_watermark, synchrony.now_ms)
    last = synchrony.pending_acks[-1] if synchrony.pending_acks else None
    if last is None or (last.record_number, last.watermark) != (ack.record_number, ack.watermark):
        synchrony.pending_acks.append(ack)


def acknowledge_synced(synchrony, out):
    """Send the acknowledgements that waited for records which are synced now."""
    done = [ack for ack in synchrony.pending_acks if ack.record_number <= synchrony.synced_count]
    if not done:
        return
    synchrony.pending_acks = [ack for ack in synchrony.pending_acks if ack.record_number > synchrony.synced_count]
    synchrony.was_last_sync_slow = exceeds_ack_delay(synchrony, done[-1])
    watermark = max(ack.watermark for ack in done)
    if keeps_log(synchrony):
        synchrony.order.synced_watermark = max(synchrony.order.synced_watermark, watermark)
    send_ack(synchrony, out, watermark)


def send_ack(synchrony, out, watermark):
    """Tell the sequencer up to where this member has all entries, on disk if it keeps a log."""
    if watermark and not synchrony.recovery:
        order = synchrony.order
        order.acknowledged_watermark = max(order.acknowledged_watermark, watermark)
        send_watermarks(synchrony, out)


def send_receipt(synchrony, out):
    """Tell the sequencer what this member has received, whatever its disk holds."""
    increment_counter(synchrony, "receipts")
    send_watermarks(synchrony, out)


def send_watermarks(synchrony, out):
    """Send what this member has acknowledged, received and synced."""
    order = synchrony.order
    order.reported_received_watermark = order.received_watermark
    message = BatchAck(
        synchrony.configuration.id, order.acknowledged_watermark, order.received_watermark, order.synced_watermark
    )
    out.sends.append((sequencer_of(synchrony), message))


def is_sync_slow(synchrony):
    """Whether the last sync, or the one that is waited for, takes too long for others to wait for it."""
    pending = synchrony.pending_acks
    return synchrony.was_last_sync_slow or bool(pending) and exceeds_ack_delay(synchrony, pending[0])


def exceeds_ack_delay(synchrony, ack):
    """Whether an acknowledgement has waited for its sync as long as others are made to wait."""
    return synchrony.now_ms - ack.written_ms >= synchrony.bounds.receipt_ack_ms


def has_unsent_receipt(synchrony):
    """Whether entries were received that the sequencer hasn't been told of, since their sync is waited for."""
    order = synchrony.order
    return bool(synchrony.pending_acks) and order.reported_received_watermark < order.received_watermark


def send_receipt_if_due(synchrony, out):
    """On a tick: tell of the receipt if the sync takes long."""
    if not synchrony.recovery and has_unsent_receipt(synchrony) and is_sync_slow(synchrony):
        send_receipt(synchrony, out)


def on_batch_ack(synchrony, out, sender_name, message):
    """At the sequencer: note how far a member is, and tell all members if more has become safe by that."""
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery:
        return
    if sequencer_of(synchrony) != synchrony.name or not raise_watermarks(order, sender_name, message):
        return
    order.sent_ms[sender_name] = synchrony.now_ms
    safe_watermark = safe_watermark_of(synchrony)
    if safe_watermark > order.safe_watermark:
        for name in member_names(synchrony.configuration):
            out.sends.append((name, SafeUpdate(synchrony.configuration.id, safe_watermark)))


def raise_watermarks(order, sender_name, message):
    """Take a member's watermarks over; -> whether any has risen."""
    reported = (
        (order.acks, message.acknowledged_watermark),
        (order.receipts, max(message.acknowledged_watermark, message.received_watermark)),
        (order.synced, message.synced_watermark),
    )
    risen = False
    for watermarks, watermark in reported:
        if watermark > watermarks.get(sender_name, 0):
            watermarks[sender_name] = watermark
            risen = True
    return risen


def safe_watermark_of(synchrony):
    """At the sequencer: the ordinal up to which the order is safe.

    Either all members have acknowledged, each after its own sync; or all have received, and of each set of voters that
    is in force, or is asked for by an entry that isn't applied, a majority has synced. Outside a primary nothing is
    applied, so the receipts are enough there.
    """
    order, members = synchrony.order, member_names(synchrony.configuration)
    acknowledged = min(order.acks.get(name, 0) for name in members)
    received = min(order.receipts.get(name, 0) for name in members)
    if received <= acknowledged or not synchrony.primary.eligible:
        return max(acknowledged, received)
    synced = min(majority_watermark(voters, order.synced) for voters in voter_sets(synchrony))
    return max(acknowledged, min(received, synced))


def voter_sets(synchrony):
    """The sets of voters of each of which a majority has to hold what is delivered in this primary."""
    primary = synchrony.primary
    in_force = (synchrony.voters,) if primary.opened and synchrony.voters else (primary.voters, *primary.pending_voters)
    not_applied = (*synchrony.pending_entries.values(), *synchrony.order.pending.values())
    return (*in_force, *voters_in(not_applied))
