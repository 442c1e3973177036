from msgspec import msgpack

from .durable_log import NOWHERE, pending_voters
from .events import Appended, Applied, Filled, Installed, Open, Snapshot, SnapshotAsked, SnapshotReceived
from .messages import Entry, Fetch, Fill, Ready
from .state import Primary, count, majorities, names, role, sequencer, write

encode = msgpack.Encoder().encode


def reach(plan, last):
    said = [e for e in plan.values() if e.last == last]
    top, extras = max(e.top for e in said), {o for e in said for o in e.extra}
    while top + 1 in extras:
        top += 1
    return top


def length_of(plan, name):
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
    lengths = {n: length_of(plan, n) for n in memories}
    donor = max(memories, key=lambda n: (memories[n].primary, lengths[n], n))
    best, base = memories[donor], lengths[donor]
    untouched = base <= 1 and all(v in plan for v in best.voters)
    found = Primary(donor=donor, base=base, voters=best.voters, coming=pending_voters(plan, best))
    if majorities(found, memories) or untouched:
        found.able = True
        return found
    return Primary(voters=best.voters)


def prepare(synchrony, out, plan):
    primary, log = synchrony.primary, synchrony.log
    if not primary.able or not synchrony.storage:
        return
    best, mine = plan[primary.donor].memory, plan[synchrony.name].memory
    primary.same = bool(best and mine and best.primary == mine.primary)
    fresh = best is None and log.primary == NOWHERE and synchrony.name in primary.voters
    if fresh or (primary.same and log.length >= primary.base):
        become_ready(synchrony, out)


def become_ready(synchrony, out):
    primary, log = synchrony.primary, synchrony.log
    voters = synchrony.voters or primary.voters
    log.primary, log.base, log.voters = synchrony.configuration.id, primary.base, voters
    del log.entries[max(0, primary.base - log.start) :]
    primary.ready_at = write(synchrony, out, Installed(log.primary, log.base, log.voters))
    later = {**synchrony.waiting}
    later.update({e.index: e for e in synchrony.order.held.values() if e.ordinal <= synchrony.order.top})
    while log.length + 1 in later:
        record(synchrony, out, later[log.length + 1])
    if synchrony.order.top:
        synchrony.acks_at.append((synchrony.wrote, synchrony.order.top))
    drain(synchrony, out)


def record(synchrony, out, entry):
    if entry.index == synchrony.log.length + 1:
        synchrony.log.entries.append(entry)
        write(synchrony, out, Appended(entry, synchrony.log.settled))


def relog(synchrony, out, entries):
    log = synchrony.log
    for entry in entries:
        at = entry.index - log.start - 1
        if at < 0 or entry.index > log.length + 1:
            continue
        if at < len(log.entries) and log.entries[at].configuration == entry.configuration:
            continue
        del log.entries[at:]
        record(synchrony, out, entry)


def say_ready(synchrony, out):
    out.sends.append((sequencer(synchrony), Ready(synchrony.configuration.id)))


def readied(synchrony, out, frm, message):
    primary, order = synchrony.primary, synchrony.order
    if message.id != synchrony.configuration.id or not primary.able or synchrony.recovery:
        return
    if sequencer(synchrony) != synchrony.name:
        return
    primary.readies.add(frm)
    if not primary.open_ordered and majorities(primary, primary.readies):
        primary.open_ordered = True
        cores = tuple(n for n in names(synchrony.configuration) if role(synchrony, n) == "core")
        payload = encode(Open(synchrony.configuration.members, cores, primary.voters))
        order.unsent.append(Entry(synchrony.configuration.id, 1, primary.base + 1, synchrony.me, 0, payload))
        order.next = 2


def act(synchrony, out, entry):
    if entry.index > synchrony.applied:
        synchrony.waiting[entry.index] = entry
    synchrony.primary.settled = synchrony.primary.settled or entry.ordinal == 1
    drain(synchrony, out)


def drain(synchrony, out):
    log, primary = synchrony.log, synchrony.primary
    if not primary.settled or synchrony.paused or (synchrony.storage and primary.ready_at < 0):
        return
    if synchrony.waiting and synchrony.storage and primary.ready_at >= 0:
        first = min(synchrony.waiting)
        while synchrony.applied + 1 < first and log.start <= synchrony.applied < log.length:
            apply(synchrony, out, log.entries[synchrony.applied - log.start])
    while synchrony.applied + 1 in synchrony.waiting:
        apply(synchrony, out, synchrony.waiting.pop(synchrony.applied + 1))


def apply(synchrony, out, entry):
    synchrony.applied = entry.index
    synchrony.log.settled = max(synchrony.log.settled, min(entry.index, synchrony.log.length))
    out.answers.append(Applied(entry))
    if entry.sender == synchrony.me and entry.number:
        while synchrony.outbox and (first := next(iter(synchrony.outbox))) <= entry.number:
            del synchrony.outbox[first]
            synchrony.outbox_ms = synchrony.now_ms
    if entry.ordinal == 1 and entry.configuration == synchrony.configuration.id:
        unlatch(synchrony)


def unlatch(synchrony):
    synchrony.primary.settled = synchrony.primary.opened = synchrony.changed = True
    synchrony.order.floor = min(synchrony.outbox, default=synchrony.number + 1)
    synchrony.submitted = synchrony.order.floor - 1


def lacking(synchrony):
    primary = synchrony.primary
    if not primary.able:
        return 0
    if synchrony.storage:
        if primary.ready_at >= 0:
            return 0
        return synchrony.log.length + 1 if primary.same else synchrony.log.settled + 1
    return synchrony.applied + 1 if synchrony.applied < primary.base else 0


def fetch(synchrony, out):
    first = lacking(synchrony)
    if not first or synchrony.recovery or synchrony.primary.loading or synchrony.primary.donor == synchrony.name:
        return
    if synchrony.now_ms - synchrony.primary.fetch_ms < synchrony.bounds.resend_ms:
        return
    synchrony.primary.fetch_ms = synchrony.now_ms
    if synchrony.storage and synchrony.applied > synchrony.primary.base:
        ask_own_snapshot(synchrony, out)
        return
    ready = sorted(
        n
        for n in names(synchrony.configuration)
        if n in synchrony.peers
        and synchrony.peers[n].ready
        and synchrony.peers[n].configuration == synchrony.configuration.id
    )
    if synchrony.primary.source not in ready:
        spot = sum(synchrony.name.encode()) % len(ready) if ready else 0
        synchrony.primary.source = ready[spot] if ready else synchrony.primary.donor
        synchrony.primary.piece = bytearray()
    out.sends.append((synchrony.primary.source, Fetch(synchrony.configuration.id, first, len(synchrony.primary.piece))))


def ask_own_snapshot(synchrony, out):
    """All that this member's log lacks is in its state: a snapshot of another would be behind it under traffic."""
    synchrony.primary.loading = True
    out.answers.append(SnapshotAsked(synchrony.name, synchrony.configuration.id, 0))


def fetched(synchrony, out, frm, message):
    log, primary = synchrony.log, synchrony.primary
    if message.id != synchrony.configuration.id or primary.ready_at < 0:
        return
    if message.first <= log.start or message.offset:
        out.answers.append(SnapshotAsked(frm, message.id, message.offset))
        return
    entries = log.entries[message.first - log.start - 1 : primary.base - log.start]
    out.sends.append((frm, Fill(message.id, tuple(entries[: synchrony.bounds.batch]))))


def filled(synchrony, out, frm, message):
    primary, log = synchrony.primary, synchrony.log
    if message.id != synchrony.configuration.id or not lacking(synchrony):
        return
    count(synchrony, "filled", len(message.entries))
    if synchrony.storage:
        relog(synchrony, out, message.entries)
        if not primary.same:
            last = message.entries[-1].index if message.entries else primary.base
            del log.entries[max(0, last - log.start) :]
            primary.same = True
        if log.length >= primary.base:
            become_ready(synchrony, out)
    else:
        for entry in message.entries:
            if entry.index > synchrony.applied:
                synchrony.waiting[entry.index] = entry
        drain(synchrony, out)
    primary.fetch_ms = -(1 << 40)
    fetch(synchrony, out)


def pieced(synchrony, out, frm, message):
    primary = synchrony.primary
    if message.id != synchrony.configuration.id or primary.loading or not lacking(synchrony):
        return
    if message.index != primary.piece_index or message.offset == 0:
        primary.piece, primary.piece_index = bytearray(), message.index
    if message.offset != len(primary.piece):
        return
    primary.piece += message.data
    wait_ms = synchrony.bounds.piece_bytes * 1000 // synchrony.bounds.refill_bytes_s
    primary.fetch_ms = synchrony.now_ms - synchrony.bounds.resend_ms + wait_ms
    if len(primary.piece) >= message.total:
        state, primary.piece = bytes(primary.piece), bytearray()
        primary.loading = True
        out.answers.append(SnapshotReceived(message.id, message.index, state, message.digest))
    fetch(synchrony, out)


def refill(synchrony, out, index, state):
    log, primary = synchrony.log, synchrony.primary
    if index < synchrony.applied:
        return
    count(synchrony, "refilled")
    synchrony.applied = log.settled = index
    out.answers.append(Filled(index, state))
    if index > primary.base and not primary.opened:
        unlatch(synchrony)
    synchrony.waiting = {i: e for i, e in synchrony.waiting.items() if i > index}
    if synchrony.storage:
        log.start, log.entries, primary.same = index, [], True
        write(synchrony, out, Snapshot(index, state))
        if index >= primary.base:
            become_ready(synchrony, out)
    drain(synchrony, out)
