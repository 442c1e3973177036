from .settling import act, record, sayReady
from .state import count, names, sequencer
from .events import Delivered, Numbered, Overfull
from .words import Ack, Batch, Entry, Safe, Submit


def asked(hedge, out, payload, end=False):
    if not end and len(hedge.outbox) >= hedge.bounds.window:
        count(hedge, "overfull")
        out.answers.append(Overfull(len(hedge.outbox)))
        return
    hedge.number += 1
    hedge.outbox[hedge.number] = payload
    out.answers.append(Numbered(hedge.number))
    push(hedge, out)


def push(hedge, out):
    if not hedge.primary.opened or hedge.recovery or not hedge.outbox:
        return
    first = max(hedge.submitted + 1, min(hedge.outbox))
    payloads = tuple(hedge.outbox[n] for n in range(first, hedge.number + 1))
    if payloads:
        if hedge.submitted < min(hedge.outbox):
            hedge.outboxMs = hedge.nowMs
        hedge.submitted = hedge.number
        out.sends.append((sequencer(hedge), Submit(hedge.configuration.id, min(hedge.outbox), first, payloads)))


def submitted(hedge, out, frm, sender, message):
    order = hedge.order
    if message.id != hedge.configuration.id or hedge.recovery or not hedge.primary.openOrdered:
        count(hedge, "foreign")
        return
    if sequencer(hedge) != hedge.name:
        return
    seen = max(order.seen.get(sender, 0), message.floor - 1)
    parked = order.parked[sender] = {n: p for n, p in order.parked.get(sender, {}).items() if n > seen}
    for number, payload in enumerate(message.payloads, message.first):
        if seen < number <= seen + hedge.bounds.window:
            parked[number] = payload
    while seen + 1 in parked:
        if order.next - order.safe > hedge.bounds.held:
            count(hedge, "windowFull")
            break
        seen += 1
        order.unsent.append(
            Entry(message.id, order.next, hedge.primary.base + order.next, sender, seen, parked.pop(seen))
        )
        order.next += 1
    order.seen[sender] = seen


def flush(hedge, out, force=False):
    order = hedge.order
    if hedge.recovery or not order.unsent or sequencer(hedge) != hedge.name:
        return
    if order.fanned > order.safe and not force:
        return
    entries, order.unsent = tuple(order.unsent[: hedge.bounds.batch]), order.unsent[hedge.bounds.batch :]
    order.fanned = entries[-1].ordinal
    count(hedge, "batches")
    count(hedge, "ordered", len(entries))
    for name in names(hedge.configuration):
        order.sentMs[name] = hedge.nowMs
        if name != hedge.name:
            out.sends.append((name, Batch(hedge.configuration.id, entries, order.safe)))
    take(hedge, out, entries)


def take(hedge, out, entries):
    for entry in entries:
        if entry.ordinal > hedge.order.delivered:
            hedge.order.held.setdefault(entry.ordinal, entry)
    advance(hedge, out)


def batched(hedge, out, frm, message):
    order = hedge.order
    if message.id != hedge.configuration.id or hedge.recovery:
        count(hedge, "foreign")
        return
    take(hedge, out, message.entries)
    order.safe = max(order.safe, message.safe)
    deliver(hedge, out)


def advance(hedge, out):
    order = hedge.order
    ready = hedge.storage and hedge.primary.readyAt >= 0
    while order.top + 1 in order.held:
        order.top += 1
        if ready:
            record(hedge, out, order.held[order.top])
    if hedge.recovery:
        return
    if ready and hedge.wrote > hedge.synced:
        hedge.acksAt.append((hedge.wrote, order.top))
    else:
        acknowledge(hedge, out, order.top)


def acknowledge(hedge, out, top):
    if top and not hedge.recovery:
        out.sends.append((sequencer(hedge), Ack(hedge.configuration.id, top)))


def acked(hedge, out, frm, message):
    order = hedge.order
    if message.id != hedge.configuration.id or hedge.recovery:
        return
    if sequencer(hedge) != hedge.name or message.top <= order.acks.get(frm, 0):
        return
    order.acks[frm] = message.top
    order.sentMs[frm] = hedge.nowMs
    mark = min(order.acks.get(n, 0) for n in names(hedge.configuration))
    if mark > order.safe:
        for name in names(hedge.configuration):
            out.sends.append((name, Safe(hedge.configuration.id, mark)))


def safened(hedge, out, message):
    if message.id != hedge.configuration.id or hedge.recovery:
        return
    hedge.order.safe = max(hedge.order.safe, message.mark)
    deliver(hedge, out)


def deliver(hedge, out):
    order = hedge.order
    while order.delivered < order.safe and order.delivered < order.top:
        order.delivered += 1
        entry = order.held.pop(order.delivered)
        out.answers.append(Delivered(entry, False, hedge.primary.able))
        if hedge.primary.able:
            act(hedge, out, entry)


def synced(hedge, out, upTo):
    hedge.synced = max(hedge.synced, upTo)
    primary = hedge.primary
    if primary.readyAt >= 0 and not primary.ready and hedge.synced >= primary.readyAt:
        primary.ready = True
        if not hedge.recovery:
            sayReady(hedge, out)
    done = [top for at, top in hedge.acksAt if at <= hedge.synced]
    if done:
        hedge.acksAt = [(at, top) for at, top in hedge.acksAt if at > hedge.synced]
        acknowledge(hedge, out, max(done))


def remind(hedge, out):
    order = hedge.order
    if hedge.recovery:
        return
    if hedge.primary.ready and not hedge.primary.opened:
        sayReady(hedge, out)
    if hedge.outbox and hedge.nowMs - hedge.outboxMs >= hedge.bounds.resendMs:
        hedge.submitted = min(hedge.outbox) - 1
        count(hedge, "handedInAgain")
        push(hedge, out)
    if sequencer(hedge) != hedge.name:
        return
    for name in names(hedge.configuration):
        top = order.acks.get(name, 0)
        if top < order.fanned and hedge.nowMs - order.sentMs.get(name, 0) >= hedge.bounds.resendMs:
            order.sentMs[name] = hedge.nowMs
            entries = [order.held[o] for o in range(top + 1, order.fanned + 1) if o in order.held]
            count(hedge, "resent", len(entries[: hedge.bounds.batch]))
            out.sends.append((name, Batch(hedge.configuration.id, tuple(entries[: hedge.bounds.batch]), order.safe)))
