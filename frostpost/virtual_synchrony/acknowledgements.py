"""Acknowledgements of entries, and the watermark up to which the sequencer declares the order safe.

An entry is safe once every member has received it and a majority of the voters has synced it. A member normally sends
one acknowledgement for both, after the sync. A member whose log is slow to sync acknowledges the receipt separately and
at once, so that one slow disk does not delay the whole group; its log catches up afterwards.
"""

from .durable_log import voters_in
from .members import member_names, sequencer_of
from .messages import BatchAck, SafeUpdate
from .order_state import PendingAck
from .quorum import majority_watermark
from .state import increment_counter


def keeps_log(synchrony):
    """Return whether this member has a log that is bound to the primary, so that received entries are persisted."""
    return synchrony.has_log and synchrony.primary.ready_record_number >= 0


def acknowledge_received(synchrony, out):
    """Acknowledge up to the received watermark: immediately if no write is pending, otherwise after the sync."""
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
    """Queue an acknowledgement of the received watermark until all records written so far are synced."""
    ack = PendingAck(synchrony.written_count, synchrony.order.received_watermark, synchrony.now_ms)
    newest = synchrony.pending_acks[-1] if synchrony.pending_acks else None
    if newest is None or (newest.record_number, newest.watermark) != (ack.record_number, ack.watermark):
        synchrony.pending_acks.append(ack)


def acknowledge_synced(synchrony, out):
    """Send the acknowledgements whose records are synced by now."""
    synced_acks = [ack for ack in synchrony.pending_acks if ack.record_number <= synchrony.synced_count]
    if not synced_acks:
        return
    synchrony.pending_acks = [ack for ack in synchrony.pending_acks if ack.record_number > synchrony.synced_count]
    synchrony.was_last_sync_slow = exceeds_ack_delay(synchrony, synced_acks[-1])
    watermark = max(ack.watermark for ack in synced_acks)
    if keeps_log(synchrony):
        synchrony.order.synced_watermark = max(synchrony.order.synced_watermark, watermark)
    send_ack(synchrony, out, watermark)


def send_ack(synchrony, out, watermark):
    """Acknowledge all entries up to `watermark` to the sequencer; they are synced if this member keeps a log."""
    if watermark and not synchrony.recovery:
        order = synchrony.order
        order.acknowledged_watermark = max(order.acknowledged_watermark, watermark)
        send_watermarks(synchrony, out)


def send_receipt(synchrony, out):
    """Report the received watermark to the sequencer, independent of what is synced."""
    increment_counter(synchrony, "receipts")
    send_watermarks(synchrony, out)


def send_watermarks(synchrony, out):
    """Send the acknowledged, received and synced watermarks to the sequencer."""
    order = synchrony.order
    order.reported_received_watermark = order.received_watermark
    message = BatchAck(
        synchrony.configuration.id, order.acknowledged_watermark, order.received_watermark, order.synced_watermark
    )
    out.sends.append((sequencer_of(synchrony), message))


def is_sync_slow(synchrony):
    """Return whether the last sync, or the one in progress, is too slow for the group to wait for it."""
    pending_acks = synchrony.pending_acks
    return synchrony.was_last_sync_slow or bool(pending_acks) and exceeds_ack_delay(synchrony, pending_acks[0])


def exceeds_ack_delay(synchrony, ack):
    """Return whether an acknowledgement has waited for its sync for at least `receipt_ack_ms`."""
    return synchrony.now_ms - ack.written_ms >= synchrony.bounds.receipt_ack_ms


def has_unsent_receipt(synchrony):
    """Return whether entries await their sync and their receipt has not been reported to the sequencer."""
    order = synchrony.order
    return bool(synchrony.pending_acks) and order.reported_received_watermark < order.received_watermark


def send_receipt_if_due(synchrony, out):
    """On a tick, report the receipt if the sync is slow."""
    if not synchrony.recovery and has_unsent_receipt(synchrony) and is_sync_slow(synchrony):
        send_receipt(synchrony, out)


def on_batch_ack(synchrony, out, sender_name, message):
    """At the sequencer, record a member's watermarks and announce the safe watermark if it has advanced."""
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
    """Record the watermarks that a member reported. Returns whether any of them has advanced."""
    reports = (
        (order.acks, message.acknowledged_watermark),
        (order.receipts, max(message.acknowledged_watermark, message.received_watermark)),
        (order.synced, message.synced_watermark),
    )
    advanced = False
    for watermarks, watermark in reports:
        if watermark > watermarks.get(sender_name, 0):
            watermarks[sender_name] = watermark
            advanced = True
    return advanced


def safe_watermark_of(synchrony):
    """At the sequencer, return the ordinal up to which the order is safe.

    An entry is safe if all members have acknowledged it, each after its own sync. It is also safe if all have received
    it and a majority has synced it in every set of voters that is in force or is requested by an unapplied entry.
    Outside a primary nothing is applied, so there the receipts suffice.
    """
    order, members = synchrony.order, member_names(synchrony.configuration)
    acknowledged = min(order.acks.get(name, 0) for name in members)
    received = min(order.receipts.get(name, 0) for name in members)
    if received <= acknowledged or not synchrony.primary.eligible:
        return max(acknowledged, received)
    synced = min(majority_watermark(voters, order.synced) for voters in voter_sets(synchrony))
    return max(acknowledged, min(received, synced))


def voter_sets(synchrony):
    """Return the sets of voters of which a majority each must have synced what this primary delivers."""
    primary = synchrony.primary
    current = (synchrony.voters,) if primary.opened and synchrony.voters else (primary.voters, *primary.pending_voters)
    unapplied = (*synchrony.pending_entries.values(), *synchrony.order.pending.values())
    return (*current, *voters_in(unapplied))
