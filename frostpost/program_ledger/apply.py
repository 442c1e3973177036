"""One step of the turn ledger: (coppice, clock, members, voters, op) -> verdict."""

from heapq import heappop

from . import keys, placement, settings, turns
from .words import (
    Abort,
    Begin,
    Claim,
    Disclaim,
    End,
    LookRetired,
    LookRouting,
    Move,
    Resolve,
    Retire,
    Retired,
    SetRouting,
)

STEPS = {
    Begin: turns.begin,
    Move: turns.move,
    End: turns.end,
    Abort: turns.abort,
    Claim: keys.claim,
    Resolve: keys.resolve,
    Disclaim: keys.disclaim,
    SetRouting: settings.set_routing,
    LookRouting: settings.look_routing,
    Retired: settings.retired,
}
NAMED = {Retire: settings.retire, LookRetired: settings.look_retired}


def knows(op):
    return type(op) in STEPS or type(op) in NAMED


def act(coppice, now_ms, members, voters, op):
    """members, voters: names. Raises KeyError for an operation that isn't the turn ledger's."""
    if type(op) in NAMED:
        return NAMED[type(op)](coppice, members, voters, op)
    return STEPS[type(op)](coppice, now_ms, op)


def expire_tomb(coppice, now_ms, name):
    if coppice.tombs.get(name, 0) <= now_ms:
        coppice.tombs.pop(name, None)
        coppice.refused.pop(name, None)


EXPIRE = {
    "attempt": turns.expire_attempt,
    "turn": turns.expire_turn,
    "account": turns.expire_account,
    "key": keys.expire_key,
    "tomb": expire_tomb,
}


def expire(coppice, now_ms):
    while coppice.expiries and coppice.expiries[0][0] <= now_ms:
        _, kind, name = heappop(coppice.expiries)
        EXPIRE[kind](coppice, now_ms, name)
    placement.forget(coppice, now_ms)
