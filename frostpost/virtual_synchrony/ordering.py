from .delivery import act, record
from .events import EntryDelivered, OperationNumbered, WindowFull
from .messages import BatchAck, Entry, EntryBatch, SafeUpdate, SubmitRequest
from .primary_component import say_ready
from .state import count, names, sequencer


def asked(synchrony, out, payload, end=False):
    if not end and len(synchrony.outbox) >= synchrony.bounds.window:
        count(synchrony, "overfull")
        out.answers.append(WindowFull(len(synchrony.outbox)))
        return
    synchrony.number += 1
    synchrony.outbox[synchrony.number] = payload
    out.answers.append(OperationNumbered(synchrony.number))
    push(synchrony, out)


def push(synchrony, out):
    if not synchrony.primary.opened or synchrony.recovery or not synchrony.outbox:
        return
    floor = first_open(synchrony)
    first = max(synchrony.submitted + 1, floor)
    payloads = tuple(synchrony.outbox[n] for n in range(first, synchrony.number + 1))
    if payloads:
        if synchrony.submitted < floor:
            synchrony.outbox_ms = synchrony.now_ms
        synchrony.submitted = synchrony.number
        out.sends.append((sequencer(synchrony), SubmitRequest(synchrony.configuration.id, floor, first, payloads)))


def first_open(synchrony):
    """The lowest number in the outbox, which must not be empty; numbers are put in in rising order."""
    return next(iter(synchrony.outbox))


def submitted(synchrony, out, frm, sender, message):
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery or not synchrony.primary.open_ordered:
        count(synchrony, "foreign")
        return
    if sequencer(synchrony) != synchrony.name:
        return
    seen = max(order.seen.get(sender, 0), message.floor - 1)
    parked = order.parked[sender] = {n: p for n, p in order.parked.get(sender, {}).items() if n > seen}
    for number, payload in enumerate(message.payloads, message.first):
        if seen < number <= seen + synchrony.bounds.window:
            parked[number] = payload
    while seen + 1 in parked:
        if order.next - order.safe > synchrony.bounds.held:
            count(synchrony, "window_full")
            break
        seen += 1
        order.unsent.append(
            Entry(message.id, order.next, synchrony.primary.base + order.next, sender, seen, parked.pop(seen))
        )
        order.next += 1
    order.seen[sender] = seen


def flush(synchrony, out, force=False):
    order = synchrony.order
    if synchrony.recovery or not order.unsent or sequencer(synchrony) != synchrony.name:
        return
    if order.fanned > order.safe and not force:
        return
    entries, order.unsent = tuple(order.unsent[: synchrony.bounds.batch]), order.unsent[synchrony.bounds.batch :]
    order.fanned = entries[-1].ordinal
    count(synchrony, "batches")
    count(synchrony, "ordered", len(entries))
    for name in names(synchrony.configuration):
        order.sent_ms[name] = synchrony.now_ms
        if name != synchrony.name:
            out.sends.append((name, EntryBatch(synchrony.configuration.id, entries, order.safe)))
    take(synchrony, out, entries)


def take(synchrony, out, entries):
    for entry in entries:
        if entry.ordinal > synchrony.order.delivered:
            synchrony.order.held.setdefault(entry.ordinal, entry)
    advance(synchrony, out)


def batched(synchrony, out, frm, message):
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery:
        count(synchrony, "foreign")
        return
    take(synchrony, out, message.entries)
    order.safe = max(order.safe, message.safe)
    deliver(synchrony, out)


def advance(synchrony, out):
    order = synchrony.order
    ready = synchrony.storage and synchrony.primary.ready_at >= 0
    while order.top + 1 in order.held:
        order.top += 1
        if ready:
            record(synchrony, out, order.held[order.top])
    if synchrony.recovery:
        return
    if ready and synchrony.wrote > synchrony.synced:
        synchrony.acks_at.append((synchrony.wrote, order.top))
    else:
        acknowledge(synchrony, out, order.top)


def acknowledge(synchrony, out, top):
    if top and not synchrony.recovery:
        out.sends.append((sequencer(synchrony), BatchAck(synchrony.configuration.id, top)))


def acked(synchrony, out, frm, message):
    order = synchrony.order
    if message.id != synchrony.configuration.id or synchrony.recovery:
        return
    if sequencer(synchrony) != synchrony.name or message.top <= order.acks.get(frm, 0):
        return
    order.acks[frm] = message.top
    order.sent_ms[frm] = synchrony.now_ms
    members = names(synchrony.configuration)
    if any(order.acks.get(name, 0) <= order.safe for name in members):
        return
    mark = min(order.acks[name] for name in members)
    for name in members:
        out.sends.append((name, SafeUpdate(synchrony.configuration.id, mark)))


def safened(synchrony, out, message):
    if message.id != synchrony.configuration.id or synchrony.recovery:
        return
    synchrony.order.safe = max(synchrony.order.safe, message.mark)
    deliver(synchrony, out)


def deliver(synchrony, out):
    order = synchrony.order
    while order.delivered < order.safe and order.delivered < order.top:
        order.delivered += 1
        entry = order.held.pop(order.delivered)
        out.answers.append(EntryDelivered(entry, False, synchrony.primary.able))
        if synchrony.primary.able:
            act(synchrony, out, entry)


def synced(synchrony, out, up_to):
    synchrony.synced = max(synchrony.synced, up_to)
    primary = synchrony.primary
    if primary.ready_at >= 0 and not primary.ready and synchrony.synced >= primary.ready_at:
        primary.ready = True
        if not synchrony.recovery:
            say_ready(synchrony, out)
    done = [top for at, top in synchrony.acks_at if at <= synchrony.synced]
    if done:
        synchrony.acks_at = [(at, top) for at, top in synchrony.acks_at if at > synchrony.synced]
        acknowledge(synchrony, out, max(done))


def remind(synchrony, out):
    order = synchrony.order
    if synchrony.recovery:
        return
    if synchrony.primary.ready and not synchrony.primary.opened:
        say_ready(synchrony, out)
    if synchrony.outbox and synchrony.now_ms - synchrony.outbox_ms >= synchrony.bounds.resend_ms:
        synchrony.submitted = first_open(synchrony) - 1
        count(synchrony, "handed_in_again")
        push(synchrony, out)
    if sequencer(synchrony) != synchrony.name:
        return
    for name in names(synchrony.configuration):
        top = order.acks.get(name, 0)
        if top < order.fanned and synchrony.now_ms - order.sent_ms.get(name, 0) >= synchrony.bounds.resend_ms:
            order.sent_ms[name] = synchrony.now_ms
            entries = [order.held[o] for o in range(top + 1, order.fanned + 1) if o in order.held]
            count(synchrony, "resent", len(entries[: synchrony.bounds.batch]))
            out.sends.append(
                (name, EntryBatch(synchrony.configuration.id, tuple(entries[: synchrony.bounds.batch]), order.safe))
            )
