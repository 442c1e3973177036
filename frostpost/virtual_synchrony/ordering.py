"""Total order in a configuration: operations go to the sequencer, entries to all, and are delivered once safe.

An entry is safe once every member has acknowledged it; voters acknowledge what is synced. All messages are idempotent
and sent again by timers, so that a lost one only delays.
"""

from .configuration import Entry
from .delivery import append_to_log, queue_for_apply
from .events import EntryDelivered, OperationNumbered, WindowFull
from .members import member_names, member_of, sequencer_of
from .messages import BatchAck, EntryBatch, SafeUpdate, SubmitRequest
from .primary_component import send_ready
from .state import increment_counter


def submit_operation(synchrony, out, payload, end=False):
    """Take an operation of this daemon into the outbox, or refuse it while the window is full.

    end: an operation that ends something is taken whatever the window holds.
    """
    if not end and len(synchrony.outbox) >= synchrony.bounds.window:
        increment_counter(synchrony, "overfull")
        out.answers.append(WindowFull(len(synchrony.outbox)))
        return
    synchrony.last_number += 1
    synchrony.outbox[synchrony.last_number] = payload
    out.answers.append(OperationNumbered(synchrony.last_number))
    send_outbox(synchrony, out)


def send_outbox(synchrony, out):
    """Send the sequencer the operations of the outbox that it hasn't been sent."""
    if not synchrony.primary.opened or synchrony.recovery or not synchrony.outbox:
        return
    floor = first_open_number(synchrony)
    first = max(synchrony.submitted + 1, floor)
    payloads = tuple(synchrony.outbox[n] for n in range(first, synchrony.last_number + 1))
    if payloads:
        if synchrony.submitted < floor:
            synchrony.outbox_ms = synchrony.now_ms
        synchrony.submitted = synchrony.last_number
        out.sends.append((sequencer_of(synchrony), SubmitRequest(synchrony.configuration.id, floor, first, payloads)))


def first_open_number(synchrony):
    """The lowest number in the outbox, which must not be empty; numbers are put in in rising order."""
    return next(iter(synchrony.outbox))


def on_submit_request(synchrony, out, sender_name, message):
    """At the sequencer: order a member's operations, each once and in the order of their numbers."""
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery or not synchrony.primary.open_ordered:
        increment_counter(synchrony, "foreign")
        return
    if sequencer_of(synchrony) != synchrony.name:
        return
    sender = member_of(synchrony, sender_name)
    seen = max(order.submitted_watermark.get(sender, 0), message.first_open - 1)
    waiting = order.out_of_order.get(sender, {})
    parked = order.out_of_order[sender] = {number: payload for number, payload in waiting.items() if number > seen}
    for number, payload in enumerate(message.payloads, message.first):
        if seen < number <= seen + synchrony.bounds.window:
            parked[number] = payload
    while seen + 1 in parked:
        if order.next_ordinal - order.safe_watermark > synchrony.bounds.held:
            increment_counter(synchrony, "window_full")
            break
        seen += 1
        order.unsent_entries.append(
            Entry(
                message.id,
                order.next_ordinal,
                synchrony.primary.base + order.next_ordinal,
                sender,
                seen,
                parked.pop(seen),
            )
        )
        order.next_ordinal += 1
    order.submitted_watermark[sender] = seen


def send_batch(synchrony, out, force=False):
    """At the sequencer: send the next batch to all, if the last one is safe or `force` is set."""
    order = synchrony.order
    if synchrony.recovery or not order.unsent_entries or sequencer_of(synchrony) != synchrony.name:
        return
    if order.sent_watermark > order.safe_watermark and not force:
        return
    entries, order.unsent_entries = (
        tuple(order.unsent_entries[: synchrony.bounds.batch]),
        order.unsent_entries[synchrony.bounds.batch :],
    )
    order.sent_watermark = entries[-1].ordinal
    increment_counter(synchrony, "batches")
    increment_counter(synchrony, "ordered", len(entries))
    for name in member_names(synchrony.configuration):
        order.sent_ms[name] = synchrony.now_ms
        if name != synchrony.name:
            out.sends.append((name, EntryBatch(synchrony.configuration.id, entries, order.safe_watermark)))
    take_entries(synchrony, out, entries)


def take_entries(synchrony, out, entries):
    """Keep entries until they are delivered."""
    for entry in entries:
        if entry.ordinal > synchrony.order.delivered_watermark:
            synchrony.order.pending.setdefault(entry.ordinal, entry)
    advance_received_watermark(synchrony, out)


def on_entry_batch(synchrony, out, sender_name, message):
    """Keep the sequencer's entries, and deliver what its watermark shows to be safe."""
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery:
        increment_counter(synchrony, "foreign")
        return
    take_entries(synchrony, out, message.entries)
    order.safe_watermark = max(order.safe_watermark, message.safe_watermark)
    deliver_safe_entries(synchrony, out)


def advance_received_watermark(synchrony, out):
    """Log the entries that follow without a gap, and acknowledge them once the log is synced."""
    order = synchrony.order
    ready = synchrony.has_log and synchrony.primary.ready_record_number >= 0
    while order.received_watermark + 1 in order.pending:
        order.received_watermark += 1
        if ready:
            append_to_log(synchrony, out, order.pending[order.received_watermark])
    if synchrony.recovery:
        return
    if ready and synchrony.written_count > synchrony.synced_count:
        synchrony.pending_acks.append((synchrony.written_count, order.received_watermark))
    else:
        send_ack(synchrony, out, order.received_watermark)


def send_ack(synchrony, out, top):
    """Tell the sequencer up to where this member has all entries."""
    if top and not synchrony.recovery:
        out.sends.append((sequencer_of(synchrony), BatchAck(synchrony.configuration.id, top)))


def on_batch_ack(synchrony, out, sender_name, message):
    """At the sequencer: tell all members up to where every one of them has acknowledged."""
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery:
        return
    if sequencer_of(synchrony) != synchrony.name or message.received_watermark <= order.acks.get(sender_name, 0):
        return
    order.acks[sender_name] = message.received_watermark
    order.sent_ms[sender_name] = synchrony.now_ms
    members = member_names(synchrony.configuration)
    if any(order.acks.get(name, 0) <= order.safe_watermark for name in members):
        return
    mark = min(order.acks[name] for name in members)
    for name in members:
        out.sends.append((name, SafeUpdate(synchrony.configuration.id, mark)))


def on_safe_update(synchrony, out, sender_name, message):
    """Deliver what every member has acknowledged."""
    if message.id != synchrony.configuration.id or synchrony.recovery:
        return
    synchrony.order.safe_watermark = max(synchrony.order.safe_watermark, message.safe_watermark)
    deliver_safe_entries(synchrony, out)


def deliver_safe_entries(synchrony, out):
    """Deliver entries up to the safe watermark; in a primary they are applied too."""
    order = synchrony.order
    while order.delivered_watermark < order.safe_watermark and order.delivered_watermark < order.received_watermark:
        order.delivered_watermark += 1
        entry = order.pending.pop(order.delivered_watermark)
        out.answers.append(EntryDelivered(entry, False, synchrony.primary.eligible))
        if synchrony.primary.eligible:
            queue_for_apply(synchrony, out, entry)


def on_log_synced(synchrony, out, up_to):
    """Count records as synced, become ready if the log is complete by that, and send acknowledgements due."""
    synchrony.synced_count = max(synchrony.synced_count, up_to)
    primary = synchrony.primary
    if primary.ready_record_number >= 0 and not primary.ready and synchrony.synced_count >= primary.ready_record_number:
        primary.ready = True
        if not synchrony.recovery:
            send_ready(synchrony, out)
    done = [top for at, top in synchrony.pending_acks if at <= synchrony.synced_count]
    if done:
        synchrony.pending_acks = [(at, top) for at, top in synchrony.pending_acks if at > synchrony.synced_count]
        send_ack(synchrony, out, max(done))


def resend_due(synchrony, out):
    """Send again what has had no effect for `resend_ms`: readiness, the outbox, batches."""
    order = synchrony.order
    if synchrony.recovery:
        return
    if synchrony.primary.ready and not synchrony.primary.opened:
        send_ready(synchrony, out)
    if synchrony.outbox and synchrony.now_ms - synchrony.outbox_ms >= synchrony.bounds.resend_ms:
        synchrony.submitted = first_open_number(synchrony) - 1
        increment_counter(synchrony, "handed_in_again")
        send_outbox(synchrony, out)
    if sequencer_of(synchrony) != synchrony.name:
        return
    for name in member_names(synchrony.configuration):
        top = order.acks.get(name, 0)
        if top < order.sent_watermark and synchrony.now_ms - order.sent_ms.get(name, 0) >= synchrony.bounds.resend_ms:
            order.sent_ms[name] = synchrony.now_ms
            entries = [order.pending[o] for o in range(top + 1, order.sent_watermark + 1) if o in order.pending]
            increment_counter(synchrony, "resent", len(entries[: synchrony.bounds.batch]))
            out.sends.append(
                (
                    name,
                    EntryBatch(
                        synchrony.configuration.id, tuple(entries[: synchrony.bounds.batch]), order.safe_watermark
                    ),
                )
            )
