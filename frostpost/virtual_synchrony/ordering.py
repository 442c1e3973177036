"""Total order in a configuration: the sequencer orders operations, and members deliver entries once they are safe.

The safe watermark is computed in `acknowledgements`. All messages are idempotent and resent on timers, so that a lost
message only causes a delay.
"""

from . import acknowledgements
from .batching import entry_bytes, leading_batch, payload_batches
from .configuration import Entry
from .delivery import append_to_log, queue_for_apply
from .events import EntryDelivered, OperationNumbered, WindowFull
from .members import member_names, member_of, sequencer_of
from .messages import EntryBatch, SubmitRequest
from .outbox import add_to_outbox, is_outbox_full
from .primary_component import send_ready
from .state import increment_counter


def submit_operation(synchrony, out, payload, bypasses_window=False):
    """Accept an operation of this daemon into the outbox, or reject it if the window is full.

    bypasses_window: accept the operation regardless of the window, as is done for operations that complete others.
    """
    if not bypasses_window and is_outbox_full(synchrony):
        increment_counter(synchrony, "overfull")
        out.notifications.append(WindowFull(len(synchrony.outbox)))
        return
    synchrony.last_operation_number += 1
    add_to_outbox(synchrony, synchrony.last_operation_number, payload)
    out.notifications.append(OperationNumbered(synchrony.last_operation_number))
    send_outbox(synchrony, out)


def send_outbox(synchrony, out):
    """Submit the operations of the outbox that have not been sent to the sequencer yet."""
    if not synchrony.primary.opened or synchrony.recovery or not synchrony.outbox:
        return
    lowest_number = lowest_outbox_number(synchrony)
    first_number = max(synchrony.last_submitted_number + 1, lowest_number)
    payloads = tuple(synchrony.outbox[number] for number in range(first_number, synchrony.last_operation_number + 1))
    if payloads:
        if synchrony.last_submitted_number < lowest_number:
            synchrony.outbox_ms = synchrony.now_ms
        synchrony.last_submitted_number = synchrony.last_operation_number
        for batch in payload_batches(payloads, synchrony.bounds):
            request = SubmitRequest(synchrony.configuration.id, lowest_number, first_number, batch)
            out.sends.append((sequencer_of(synchrony), request))
            first_number += len(batch)


def lowest_outbox_number(synchrony):
    """Return the lowest number in the outbox, which must not be empty; numbers are added in ascending order."""
    return next(iter(synchrony.outbox))


def on_submit_request(synchrony, out, sender_name, message):
    """At the sequencer, order a member's operations, each once and in the order of their numbers."""
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery or not synchrony.primary.open_ordered:
        increment_counter(synchrony, "foreign")
        return
    if sequencer_of(synchrony) != synchrony.name:
        return
    sender = member_of(synchrony, sender_name)
    last_ordered = max(order.submitted_watermark.get(sender, 0), message.first_open - 1)
    previously_received = order.out_of_order.get(sender, {})
    unordered = order.out_of_order[sender] = {
        number: payload for number, payload in previously_received.items() if number > last_ordered
    }
    for number, payload in enumerate(message.payloads, message.first):
        if last_ordered < number <= last_ordered + synchrony.bounds.window:
            unordered[number] = payload
    while last_ordered + 1 in unordered:
        if is_order_full(synchrony):
            increment_counter(synchrony, "window_full")
            break
        last_ordered += 1
        append_ordered(synchrony, sender, last_ordered, unordered.pop(last_ordered))
    order.submitted_watermark[sender] = last_ordered


def is_order_full(synchrony):
    """Return whether the entries that are ordered and not yet safe have reached their bound in number or in bytes."""
    order, bounds = synchrony.order, synchrony.bounds
    return order.next_ordinal - order.safe_watermark > bounds.held or order.undelivered_bytes >= bounds.unsafe_bytes


def append_ordered(synchrony, sender, number, payload):
    """Append an operation to the order."""
    order = synchrony.order
    index = synchrony.primary.base + order.next_ordinal
    entry = Entry(synchrony.configuration.id, order.next_ordinal, index, sender, number, payload)
    order.unsent_entries.append(entry)
    order.undelivered_bytes += entry_bytes(entry)
    order.next_ordinal += 1


def send_batch(synchrony, out, force=False):
    """At the sequencer, send the next batch to all members if the last one is safe or `force` is set."""
    order = synchrony.order
    if synchrony.recovery or not order.unsent_entries or sequencer_of(synchrony) != synchrony.name:
        return
    if order.sent_watermark > order.safe_watermark and not force:
        return
    entries = leading_batch(order.unsent_entries, synchrony.bounds)
    order.unsent_entries = order.unsent_entries[len(entries) :]
    order.sent_watermark = entries[-1].ordinal
    increment_counter(synchrony, "batches")
    increment_counter(synchrony, "ordered", len(entries))
    for name in member_names(synchrony.configuration):
        order.sent_ms[name] = synchrony.now_ms
        if name != synchrony.name:
            out.sends.append((name, EntryBatch(synchrony.configuration.id, entries, order.safe_watermark)))
    take_entries(synchrony, out, entries)


def take_entries(synchrony, out, entries):
    """Store entries until they are delivered."""
    for entry in entries:
        if entry.ordinal > synchrony.order.delivered_watermark:
            synchrony.order.pending.setdefault(entry.ordinal, entry)
    advance_received_watermark(synchrony, out)


def on_entry_batch(synchrony, out, sender_name, message):
    """Store the sequencer's entries and deliver those that are safe."""
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery:
        increment_counter(synchrony, "foreign")
        return
    take_entries(synchrony, out, message.entries)
    order.safe_watermark = max(order.safe_watermark, message.safe_watermark)
    deliver_safe_entries(synchrony, out)


def advance_received_watermark(synchrony, out):
    """Log the entries that follow without a gap, and acknowledge them."""
    order = synchrony.order
    keeps_log = acknowledgements.keeps_log(synchrony)
    while order.received_watermark + 1 in order.pending:
        order.received_watermark += 1
        if keeps_log:
            append_to_log(synchrony, out, order.pending[order.received_watermark])
    acknowledgements.acknowledge_received(synchrony, out)


def on_safe_update(synchrony, out, sender_name, message):
    """Advance the safe watermark and deliver the entries up to it."""
    if message.id != synchrony.configuration.id or synchrony.recovery:
        return
    synchrony.order.safe_watermark = max(synchrony.order.safe_watermark, message.safe_watermark)
    deliver_safe_entries(synchrony, out)


def deliver_safe_entries(synchrony, out):
    """Deliver entries up to the safe watermark; in a primary, queue them for application."""
    order = synchrony.order
    while order.delivered_watermark < order.safe_watermark and order.delivered_watermark < order.received_watermark:
        order.delivered_watermark += 1
        entry = order.pending.pop(order.delivered_watermark)
        order.undelivered_bytes = max(0, order.undelivered_bytes - entry_bytes(entry))
        out.notifications.append(EntryDelivered(entry, False, synchrony.primary.eligible))
        if synchrony.primary.eligible:
            queue_for_apply(synchrony, out, entry)


def on_log_synced(synchrony, out, up_to):
    """Advance the synced record count, become ready if the log is complete, and send the due acknowledgements."""
    synchrony.synced_count = max(synchrony.synced_count, up_to)
    primary = synchrony.primary
    if primary.ready_record_number >= 0 and not primary.ready and synchrony.synced_count >= primary.ready_record_number:
        primary.ready = True
        if not synchrony.recovery:
            send_ready(synchrony, out)
    acknowledgements.acknowledge_synced(synchrony, out)


def resend_due(synchrony, out):
    """Resend readiness, the outbox and batches that have had no effect for `resend_ms`."""
    order = synchrony.order
    if synchrony.recovery:
        return
    if synchrony.primary.ready and not synchrony.primary.opened:
        send_ready(synchrony, out)
    if synchrony.outbox and synchrony.now_ms - synchrony.outbox_ms >= synchrony.bounds.resend_ms:
        synchrony.last_submitted_number = lowest_outbox_number(synchrony) - 1
        increment_counter(synchrony, "handed_in_again")
        send_outbox(synchrony, out)
    acknowledgements.send_receipt_if_due(synchrony, out)
    if sequencer_of(synchrony) == synchrony.name and order.sent_watermark > order.safe_watermark:
        resend_batches(synchrony, out)


def resend_batches(synchrony, out):
    """At the sequencer, resend missing entries to members that have not acknowledged the last batch in time.

    A member that has received everything gets an empty batch, to which it replies with its watermarks.
    """
    order = synchrony.order
    for name in member_names(synchrony.configuration):
        elapsed_ms = synchrony.now_ms - order.sent_ms.get(name, 0)
        if order.acks.get(name, 0) >= order.sent_watermark or elapsed_ms < synchrony.bounds.resend_ms:
            continue
        order.sent_ms[name] = synchrony.now_ms
        ordinals = range(order.receipts.get(name, 0) + 1, order.sent_watermark + 1)
        missing = [order.pending[ordinal] for ordinal in ordinals if ordinal in order.pending]
        entries = leading_batch(missing, synchrony.bounds)
        increment_counter(synchrony, "resent", len(entries))
        out.sends.append((name, EntryBatch(synchrony.configuration.id, entries, order.safe_watermark)))
