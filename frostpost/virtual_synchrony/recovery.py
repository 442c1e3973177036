from .durable_log import voters_in
from .events import ConfigurationChanged, EntryDelivered
from .messages import Configuration, Rebroadcast, RecoveryComplete
from .ordering import act, advance
from .primary_component import judge, prepare
from .state import OrderState, count, majorities, majority, sequencer


def holds(exchange, ordinal):
    return ordinal <= exchange.top or ordinal in exchange.extra


def planned(synchrony, out, message):
    recovery = synchrony.recovery
    if recovery is None or recovery.id != message.id:
        return
    if recovery.plan is None:
        last = synchrony.configuration.id
        if message.exchanges[synchrony.name].last != last:
            count(synchrony, "foreign")
            return
        recovery.plan = message.exchanges
        recovery.group = tuple(m for m in recovery.members if message.exchanges[m.name].last == last)
        said = {m.name: message.exchanges[m.name] for m in recovery.group}
        floor = min(e.top for e in said.values())
        union = set(range(floor + 1, max(e.top for e in said.values()) + 1))
        for exchange in said.values():
            union.update(exchange.extra)
        recovery.wanted = frozenset(union)
        recovery.owed = owed(synchrony, said, union)
    if recovery.complete:
        say_complete(synchrony, out)
    else:
        rebroadcast(synchrony, out)
        settle(synchrony, out)


def owed(synchrony, said, union):
    mine: dict[str, list[int]] = {}
    for ordinal in sorted(union):
        holders = sorted(n for n, e in said.items() if holds(e, ordinal))
        if holders and holders[0] == synchrony.name:
            for name, exchange in said.items():
                if not holds(exchange, ordinal):
                    mine.setdefault(name, []).append(ordinal)
    return {name: tuple(o) for name, o in mine.items()}


def rebroadcast(synchrony, out):
    recovery, held = synchrony.recovery, synchrony.order.held
    for name, ordinals in recovery.owed.items():
        entries = [held[o] for o in ordinals if o in held]
        for at in range(0, len(entries), synchrony.bounds.batch):
            part = tuple(entries[at : at + synchrony.bounds.batch])
            count(synchrony, "rebroadcast", len(part))
            out.sends.append((name, Rebroadcast(recovery.id, part)))


def rebroadcasted(synchrony, out, message):
    recovery = synchrony.recovery
    if recovery is None or recovery.id != message.id:
        return
    for entry in message.entries:
        if entry.configuration == synchrony.configuration.id and entry.ordinal > synchrony.order.delivered:
            synchrony.order.held[entry.ordinal] = entry
    settle(synchrony, out)


def settle(synchrony, out):
    recovery, order = synchrony.recovery, synchrony.order
    if recovery is None or recovery.plan is None or recovery.complete:
        return
    if any(o > order.top and o not in order.held for o in recovery.wanted):
        return
    advance(synchrony, out)
    if recovery.sync_at < 0:
        recovery.sync_at = synchrony.wrote
    if synchrony.storage and synchrony.synced < recovery.sync_at:
        return
    obligations = set(synchrony.obligations) | set(recovery.group)
    for member in recovery.group:
        obligations.update(recovery.plan[member.name].obligations)
    synchrony.obligations = frozenset(obligations)
    recovery.complete = True
    say_complete(synchrony, out)


def say_complete(synchrony, out):
    out.sends.append((synchrony.recovery.proposer, RecoveryComplete(synchrony.recovery.id)))


def installed(synchrony, out, message):
    recovery = synchrony.recovery
    if recovery and recovery.id == message.id and recovery.complete:
        install(synchrony, out)


def install(synchrony, out):
    recovery, order = synchrony.recovery, synchrony.order
    group = [m.name for m in recovery.group]
    safe = max(recovery.plan[n].safe for n in group)
    acting, changes = synchrony.primary.able, []
    while order.delivered < safe and order.delivered + 1 in order.held:
        order.delivered += 1
        entry = order.held[order.delivered]
        out.answers.append(EntryDelivered(entry, False, acting))
        changes += voters_in([entry])
        if acting:
            act(synchrony, out, entry)
    out.answers.append(
        ConfigurationChanged(Configuration(synchrony.configuration.id, recovery.group, sequencer(synchrony)), True)
    )
    full = full_voters(synchrony, group)
    keeping = acting and majorities(synchrony.primary, full) and all(majority(v, full) for v in changes)
    gap = False
    for ordinal in sorted(o for o in order.held if o > order.delivered):
        if ordinal != order.delivered + 1:
            gap = True
        if gap and not obligated(synchrony, order.held[ordinal]):
            count(synchrony, "discarded")
            continue
        order.delivered = ordinal
        entry = order.held[ordinal]
        out.answers.append(EntryDelivered(entry, True, keeping and not gap))
        if keeping and not gap:
            act(synchrony, out, entry)
            keeping = all(majority(voters, full) for voters in voters_in([entry]))
    begin(synchrony, out)


def obligated(synchrony, entry):
    first = sequencer(synchrony)
    return any(m.name == first for m in synchrony.obligations)


def full_voters(synchrony, group):
    """Members whose logs hold what this configuration ordered, and that have confirmed no other recovery from it.

    One that has may already count for a primary that begins without the entries that would be kept here.
    """
    plan, last = synchrony.recovery.plan, synchrony.configuration.id
    full = [n for n in group if plan[n].memory and plan[n].memory.primary == last]
    return [n for n in full if not plan[n].obligations]


def begin(synchrony, out):
    recovery = synchrony.recovery
    synchrony.configuration = Configuration(recovery.id, recovery.members, recovery.sequencer)
    synchrony.installed_ms, synchrony.changed = synchrony.now_ms, True
    synchrony.log.epoch = max(synchrony.log.epoch, recovery.id.epoch)
    synchrony.recovery = None
    synchrony.obligations = frozenset()
    synchrony.replays, synchrony.order = synchrony.order.early, OrderState()
    synchrony.acks_at = []
    count(synchrony, "installs")
    synchrony.waiting = {}
    synchrony.primary = judge(recovery.plan)
    out.answers.append(ConfigurationChanged(synchrony.configuration, False))
    prepare(synchrony, out, recovery.plan)


def remind(synchrony, out):
    recovery = synchrony.recovery
    if recovery is None or synchrony.now_ms - recovery.sent_ms < synchrony.bounds.resend_ms:
        return
    recovery.sent_ms = synchrony.now_ms
    if recovery.complete:
        say_complete(synchrony, out)
    elif recovery.plan is not None:
        rebroadcast(synchrony, out)
