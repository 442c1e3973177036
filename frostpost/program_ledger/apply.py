"""One step of the turn ledger: (program_ledger, clock, members, voters, op) -> verdict."""

from collections.abc import Callable
from heapq import heappop

from . import keys, placement, routing_versions, turns
from .words import (
    AbortAttempt,
    BeginAttempt,
    ClaimOperationKey,
    CompleteRetirement,
    EndAttempt,
    ReadRetirement,
    ReadRouting,
    ReassignAttempt,
    ReleaseOperationKey,
    ResolveOperationKey,
    RetireReplica,
    SetRouting,
)

STEPS: dict[type, Callable] = {
    BeginAttempt: turns.begin,
    ReassignAttempt: turns.move,
    EndAttempt: turns.end,
    AbortAttempt: turns.abort,
    ClaimOperationKey: keys.claim,
    ResolveOperationKey: keys.resolve,
    ReleaseOperationKey: keys.disclaim,
    SetRouting: routing_versions.set_routing,
    ReadRouting: routing_versions.look_routing,
    CompleteRetirement: routing_versions.retired,
}
NAMED: dict[type, Callable] = {RetireReplica: routing_versions.retire, ReadRetirement: routing_versions.look_retired}


def knows(op):
    """Tell whether an operation belongs to this ledger."""
    return type(op) in STEPS or type(op) in NAMED


def act(program_ledger, now_ms, members, voters, op):
    """members, voters: names. Raises KeyError for an operation that isn't the turn ledger's."""
    if type(op) in NAMED:
        return NAMED[type(op)](program_ledger, members, voters, op)
    return STEPS[type(op)](program_ledger, now_ms, op)


def expire_tomb(program_ledger, now_ms, name):
    """Forget that an attempt has ended."""
    if program_ledger.tombs.get(name, 0) <= now_ms:
        program_ledger.tombs.pop(name, None)
        program_ledger.refused.pop(name, None)


EXPIRE = {
    "attempt": turns.expire_attempt,
    "turn": turns.expire_turn,
    "account": turns.expire_account,
    "key": keys.expire_key,
    "tomb": expire_tomb,
}


def expire(program_ledger, now_ms):
    """Do all that is due by `now_ms` of the ledger's clock."""
    while program_ledger.expiries and program_ledger.expiries[0][0] <= now_ms:
        _, kind, name = heappop(program_ledger.expiries)
        EXPIRE[kind](program_ledger, now_ms, name)
    placement.forget(program_ledger, now_ms)
