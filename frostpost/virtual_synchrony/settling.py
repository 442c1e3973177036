from hashlib import blake2b

from msgspec import msgpack

from .memory import NOWHERE
from .state import Primary, count, majorities, names, role, sequencer, write
from .events import Appended, Applied, Filled, Installed, Open, Snapshot, SnapshotAsked
from .words import Entry, Fetch, Fill, Ready

encode = msgpack.Encoder().encode


def reach(plan, last):
    said = [e for e in plan.values() if e.last == last]
    top, extras = max(e.top for e in said), {o for e in said for o in e.extra}
    while top + 1 in extras:
        top += 1
    return top


def lengthOf(plan, name):
    said = plan[name]
    if said.memory.primary != said.last:
        return said.memory.length
    return said.memory.length - said.top + reach(plan, said.last)


def judge(plan):
    memories = {n: e.memory for n, e in plan.items() if e.memory}
    if not memories:
        voters = max((e.voters for e in plan.values()), key=len, default=())
        able = bool(voters) and all(v in plan for v in voters)
        return Primary(able=able, donor=min(voters, default=""), voters=voters)
    lengths = {n: lengthOf(plan, n) for n in memories}
    donor = max(memories, key=lambda n: (memories[n].primary, lengths[n], n))
    best, base = memories[donor], lengths[donor]
    untouched = base <= 1 and all(v in plan for v in best.voters)
    found = Primary(donor=donor, base=base, voters=best.voters, coming=best.coming)
    if majorities(found, memories) or untouched:
        found.able = True
        return found
    return Primary(voters=best.voters)


def prepare(hedge, out, plan):
    primary, log = hedge.primary, hedge.log
    if not primary.able or not hedge.storage:
        return
    best, mine = plan[primary.donor].memory, plan[hedge.name].memory
    primary.same = bool(best and mine and best.primary == mine.primary)
    fresh = best is None and log.primary == NOWHERE and hedge.name in primary.voters
    if fresh or (primary.same and log.length >= primary.base):
        becomeReady(hedge, out)


def becomeReady(hedge, out):
    primary, log = hedge.primary, hedge.log
    log.primary, log.base, log.voters = hedge.configuration.id, primary.base, primary.voters
    del log.entries[max(0, primary.base - log.start) :]
    primary.readyAt = write(hedge, out, Installed(log.primary, log.base, log.voters))
    later = {**hedge.waiting}
    later.update({e.index: e for e in hedge.order.held.values() if e.ordinal <= hedge.order.top})
    while log.length + 1 in later:
        record(hedge, out, later[log.length + 1])
    if hedge.order.top:
        hedge.acksAt.append((hedge.wrote, hedge.order.top))
    drain(hedge, out)


def record(hedge, out, entry):
    if entry.index == hedge.log.length + 1:
        hedge.log.entries.append(entry)
        write(hedge, out, Appended(entry, hedge.log.settled))


def relog(hedge, out, entries):
    log = hedge.log
    for entry in entries:
        at = entry.index - log.start - 1
        if at < 0 or entry.index > log.length + 1:
            continue
        if at < len(log.entries) and log.entries[at].configuration == entry.configuration:
            continue
        del log.entries[at:]
        record(hedge, out, entry)


def sayReady(hedge, out):
    out.sends.append((sequencer(hedge), Ready(hedge.configuration.id)))


def readied(hedge, out, frm, message):
    primary, order = hedge.primary, hedge.order
    if message.id != hedge.configuration.id or not primary.able or hedge.recovery:
        return
    if sequencer(hedge) != hedge.name:
        return
    primary.readies.add(frm)
    if not primary.openOrdered and majorities(primary, primary.readies):
        primary.openOrdered = True
        cores = tuple(n for n in names(hedge.configuration) if role(hedge, n) == "core")
        payload = encode(Open(hedge.configuration.members, cores, primary.voters))
        order.unsent.append(Entry(hedge.configuration.id, 1, primary.base + 1, hedge.me, 0, payload))
        order.next = 2


def act(hedge, out, entry):
    if entry.index > hedge.applied:
        hedge.waiting[entry.index] = entry
    hedge.primary.settled = hedge.primary.settled or entry.ordinal == 1
    drain(hedge, out)


def drain(hedge, out):
    log, primary = hedge.log, hedge.primary
    if not primary.settled:
        return
    if hedge.waiting and hedge.storage and primary.readyAt >= 0:
        first = min(hedge.waiting)
        while hedge.applied + 1 < first and log.start <= hedge.applied < log.length:
            apply(hedge, out, log.entries[hedge.applied - log.start])
    while hedge.applied + 1 in hedge.waiting:
        apply(hedge, out, hedge.waiting.pop(hedge.applied + 1))


def apply(hedge, out, entry):
    hedge.applied = entry.index
    hedge.log.settled = max(hedge.log.settled, min(entry.index, hedge.log.length))
    out.answers.append(Applied(entry))
    if entry.sender == hedge.me and entry.number:
        for number in [n for n in hedge.outbox if n <= entry.number]:
            del hedge.outbox[number]
            hedge.outboxMs = hedge.nowMs
    if entry.ordinal == 1 and entry.configuration == hedge.configuration.id:
        unlatch(hedge)


def unlatch(hedge):
    hedge.primary.settled = hedge.primary.opened = True
    hedge.order.floor = min(hedge.outbox, default=hedge.number + 1)
    hedge.submitted = hedge.order.floor - 1


def lacking(hedge):
    primary = hedge.primary
    if not primary.able:
        return 0
    if hedge.storage:
        if primary.readyAt >= 0:
            return 0
        return hedge.log.length + 1 if primary.same else hedge.log.settled + 1
    return hedge.applied + 1 if hedge.applied < primary.base else 0


def fetch(hedge, out):
    first = lacking(hedge)
    if not first or hedge.recovery or hedge.primary.donor == hedge.name:
        return
    if hedge.nowMs - hedge.primary.fetchMs < hedge.bounds.resendMs:
        return
    hedge.primary.fetchMs = hedge.nowMs
    ready = sorted(
        n
        for n in names(hedge.configuration)
        if n in hedge.peers and hedge.peers[n].ready and hedge.peers[n].configuration == hedge.configuration.id
    )
    if hedge.primary.source not in ready:
        spot = sum(hedge.name.encode()) % len(ready) if ready else 0
        hedge.primary.source = ready[spot] if ready else hedge.primary.donor
        hedge.primary.piece = bytearray()
    out.sends.append((hedge.primary.source, Fetch(hedge.configuration.id, first, len(hedge.primary.piece))))


def fetched(hedge, out, frm, message):
    log, primary = hedge.log, hedge.primary
    if message.id != hedge.configuration.id or primary.readyAt < 0:
        return
    if message.first <= log.start or message.offset:
        out.answers.append(SnapshotAsked(frm, message.id, message.offset))
        return
    entries = log.entries[message.first - log.start - 1 : primary.base - log.start]
    out.sends.append((frm, Fill(message.id, tuple(entries[: hedge.bounds.batch]))))


def filled(hedge, out, frm, message):
    primary, log = hedge.primary, hedge.log
    if message.id != hedge.configuration.id or not lacking(hedge):
        return
    count(hedge, "filled", len(message.entries))
    if hedge.storage:
        relog(hedge, out, message.entries)
        if not primary.same:
            last = message.entries[-1].index if message.entries else primary.base
            del log.entries[max(0, last - log.start) :]
            primary.same = True
        if log.length >= primary.base:
            becomeReady(hedge, out)
    else:
        for entry in message.entries:
            if entry.index > hedge.applied:
                hedge.waiting[entry.index] = entry
        drain(hedge, out)
    primary.fetchMs = -(1 << 40)
    fetch(hedge, out)


def pieced(hedge, out, frm, message):
    primary = hedge.primary
    if message.id != hedge.configuration.id or not lacking(hedge):
        return
    if message.index != primary.pieceIndex or message.offset == 0:
        primary.piece, primary.pieceIndex = bytearray(), message.index
    if message.offset != len(primary.piece):
        return
    primary.piece += message.data
    waitMs = hedge.bounds.pieceBytes * 1000 // hedge.bounds.refillBytesS
    primary.fetchMs = hedge.nowMs - hedge.bounds.resendMs + waitMs
    if len(primary.piece) >= message.total:
        state, primary.piece = bytes(primary.piece), bytearray()
        if blake2b(state, digest_size=16).hexdigest() == message.digest:
            refill(hedge, out, message.index, state)
    fetch(hedge, out)


def refill(hedge, out, index, state):
    log, primary = hedge.log, hedge.primary
    if index < hedge.applied:
        return
    count(hedge, "refilled")
    hedge.applied = log.settled = index
    out.answers.append(Filled(index, state))
    if index > primary.base and not primary.opened:
        unlatch(hedge)
    hedge.waiting = {i: e for i, e in hedge.waiting.items() if i > index}
    if hedge.storage:
        log.start, log.entries, primary.same = index, [], True
        write(hedge, out, Snapshot(index, state))
        if index >= primary.base:
            becomeReady(hedge, out)
    drain(hedge, out)
