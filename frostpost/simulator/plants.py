from contextlib import contextmanager

from frostpost.ledger import apply as applying
from frostpost.ledger import keys, programs
from frostpost.virtual_synchrony import membership, ordering, recovery, settling, watch
from frostpost.virtual_synchrony.events import Delivered
from frostpost.ledger.words import ConfigSet, Mark, Won


def ackUnsynced(hedge, out):
    order = hedge.order
    while order.top + 1 in order.held:
        order.top += 1
        if hedge.storage and hedge.primary.readyAt >= 0:
            settling.record(hedge, out, order.held[order.top])
    if not hedge.recovery:
        ordering.acknowledge(hedge, out, order.top)


def anyVoter(primary, present):
    return any(v in present for v in primary.voters)


def oldLength(plan, name):
    return plan[name].memory.length


def eagerDeliver(hedge, out):
    hedge.order.safe = max(hedge.order.safe, hedge.order.top)
    order = hedge.order
    while order.delivered < order.safe and order.delivered < order.top:
        order.delivered += 1
        entry = order.held[order.delivered]
        out.answers.append(Delivered(entry, False, hedge.primary.able))
        if hedge.primary.able:
            settling.act(hedge, out, entry)


def everLeased(hedge, nowMs):
    return hedge.primary.opened


def freeClaim(granary, entry, op):
    return Won(entry.index)


def noCompare(granary, entry, op):
    mark = granary.configs.get(op.path)
    version = op.ifVersion + 1
    granary.configs[op.path] = Mark(version, op.digest, op.size, op.source, op.number, entry.index)
    return ConfigSet(version, entry.index) if mark is None or version else None


def looseReserve(granary, entry, op):
    program = granary.programs.get(op.program)
    if program is not None:
        program.spent = 0
    return KEPT["reserve"](granary, entry, op)


def eagerDrain(hedge, out):
    hedge.primary.settled = True
    KEPT["drain"](hedge, out)


def forget(hedge, out, record):
    return hedge.wrote


def noUnlatch(hedge, out, index, state):
    opened = hedge.primary.opened
    KEPT["refill"](hedge, out, index, state)
    hedge.primary.opened = opened


def noUnion(hedge, out):
    hedge.recovery.owed = {}


def lateSelf(hedge, out, entries):
    return None


KEPT = {
    "reserve": programs.reserve,
    "drain": settling.drain,
    "refill": settling.refill,
}
PLANTS = {
    "ackUnsynced": [(ordering, "advance", ackUnsynced), (recovery, "advance", ackUnsynced)],
    "minorityPrimary": [(settling, "majorities", anyVoter), (recovery, "majorities", anyVoter)],
    "baseBeforeRebroadcast": [(settling, "lengthOf", oldLength)],
    "deliverUnsafe": [(ordering, "deliver", eagerDeliver)],
    "noLease": [(watch, "leaseOk", everLeased)],
    "freeClaim": [(keys, "claim", freeClaim)],
    "noCompare": [(applying, "config", noCompare)],
    "budgetForgotten": [(programs, "reserve", looseReserve)],
    "noRebroadcast": [(recovery, "rebroadcast", noUnion)],
    "applyBeforeOpen": [(settling, "drain", eagerDrain)],
    "forgetPromise": [(membership, "write", forget)],
    "waitForOpen": [(settling, "refill", noUnlatch)],
    "dropOwn": [(ordering, "take", lateSelf)],
}


@contextmanager
def planted(name, table=PLANTS):
    changes = table.get(name, [])
    kept = [(module, word, getattr(module, word)) for module, word, _ in changes]
    for module, word, fault in changes:
        setattr(module, word, fault)
    try:
        yield
    finally:
        for module, word, was in kept:
            setattr(module, word, was)
