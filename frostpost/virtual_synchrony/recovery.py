from .ordering import act, advance
from .settling import judge, prepare
from .state import Order, count, majorities, sequencer
from .events import Changed, Delivered
from .words import Complete, Configuration, Rebroadcast


def holds(exchange, ordinal):
    return ordinal <= exchange.top or ordinal in exchange.extra


def planned(hedge, out, message):
    recovery = hedge.recovery
    if recovery is None or recovery.id != message.id:
        return
    if recovery.plan is None:
        last = hedge.configuration.id
        if message.exchanges[hedge.name].last != last:
            count(hedge, "foreign")
            return
        recovery.plan = message.exchanges
        recovery.group = tuple(m for m in recovery.members if message.exchanges[m.name].last == last)
        said = {m.name: message.exchanges[m.name] for m in recovery.group}
        floor = min(e.top for e in said.values())
        union = set(range(floor + 1, max(e.top for e in said.values()) + 1))
        for exchange in said.values():
            union.update(exchange.extra)
        recovery.wanted = frozenset(union)
        recovery.owed = owed(hedge, said, union)
    if recovery.complete:
        sayComplete(hedge, out)
    else:
        rebroadcast(hedge, out)
        settle(hedge, out)


def owed(hedge, said, union):
    mine = {}
    for ordinal in sorted(union):
        holders = sorted(n for n, e in said.items() if holds(e, ordinal))
        if holders and holders[0] == hedge.name:
            for name, exchange in said.items():
                if not holds(exchange, ordinal):
                    mine.setdefault(name, []).append(ordinal)
    return {name: tuple(o) for name, o in mine.items()}


def rebroadcast(hedge, out):
    recovery, held = hedge.recovery, hedge.order.held
    for name, ordinals in recovery.owed.items():
        entries = [held[o] for o in ordinals if o in held]
        for at in range(0, len(entries), hedge.bounds.batch):
            part = tuple(entries[at : at + hedge.bounds.batch])
            count(hedge, "rebroadcast", len(part))
            out.sends.append((name, Rebroadcast(recovery.id, part)))


def rebroadcasted(hedge, out, message):
    recovery = hedge.recovery
    if recovery is None or recovery.id != message.id:
        return
    for entry in message.entries:
        if entry.configuration == hedge.configuration.id and entry.ordinal > hedge.order.delivered:
            hedge.order.held[entry.ordinal] = entry
    settle(hedge, out)


def settle(hedge, out):
    recovery, order = hedge.recovery, hedge.order
    if recovery is None or recovery.plan is None or recovery.complete:
        return
    if any(o > order.top and o not in order.held for o in recovery.wanted):
        return
    advance(hedge, out)
    if recovery.syncAt < 0:
        recovery.syncAt = hedge.wrote
    if hedge.storage and hedge.synced < recovery.syncAt:
        return
    obligations = set(hedge.obligations) | set(recovery.group)
    for member in recovery.group:
        obligations.update(recovery.plan[member.name].obligations)
    hedge.obligations = frozenset(obligations)
    recovery.complete = True
    sayComplete(hedge, out)


def sayComplete(hedge, out):
    out.sends.append((hedge.recovery.proposer, Complete(hedge.recovery.id)))


def installed(hedge, out, message):
    recovery = hedge.recovery
    if recovery and recovery.id == message.id and recovery.complete:
        install(hedge, out)


def install(hedge, out):
    recovery, order = hedge.recovery, hedge.order
    group = [m.name for m in recovery.group]
    safe = max(recovery.plan[n].safe for n in group)
    acting = hedge.primary.able
    while order.delivered < safe and order.delivered + 1 in order.held:
        order.delivered += 1
        entry = order.held[order.delivered]
        out.answers.append(Delivered(entry, False, acting))
        if acting:
            act(hedge, out, entry)
    out.answers.append(Changed(Configuration(hedge.configuration.id, recovery.group, sequencer(hedge)), True))
    keeping = acting and majorities(hedge.primary, fullVoters(hedge, group))
    gap = False
    for ordinal in sorted(o for o in order.held if o > order.delivered):
        if ordinal != order.delivered + 1:
            gap = True
        if gap and not obligated(hedge, order.held[ordinal]):
            count(hedge, "discarded")
            continue
        order.delivered = ordinal
        entry = order.held[ordinal]
        out.answers.append(Delivered(entry, True, keeping and not gap))
        if keeping and not gap:
            act(hedge, out, entry)
    begin(hedge, out)


def obligated(hedge, entry):
    first = sequencer(hedge)
    return any(m.name == first for m in hedge.obligations)


def fullVoters(hedge, group):
    plan, last = hedge.recovery.plan, hedge.configuration.id
    return [n for n in group if plan[n].memory and plan[n].memory.primary == last]


def begin(hedge, out):
    recovery = hedge.recovery
    hedge.configuration = Configuration(recovery.id, recovery.members, recovery.sequencer)
    hedge.installedMs = hedge.nowMs
    hedge.log.epoch = max(hedge.log.epoch, recovery.id.epoch)
    hedge.recovery = None
    hedge.obligations = frozenset()
    hedge.replays, hedge.order = hedge.order.early, Order()
    hedge.acksAt = []
    count(hedge, "installs")
    hedge.waiting = {}
    hedge.primary = judge(recovery.plan)
    out.answers.append(Changed(hedge.configuration, False))
    prepare(hedge, out, recovery.plan)


def remind(hedge, out):
    recovery = hedge.recovery
    if recovery is None or hedge.nowMs - recovery.sentMs < hedge.bounds.resendMs:
        return
    recovery.sentMs = hedge.nowMs
    if recovery.complete:
        sayComplete(hedge, out)
    elif recovery.plan is not None:
        rebroadcast(hedge, out)
