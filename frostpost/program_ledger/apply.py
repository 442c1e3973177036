"""One step of the turn ledger: (program_ledger, clock, members, voters, op) -> verdict."""

from collections.abc import Callable
from heapq import heappop

from . import keys, placement, routing_versions, turns
from .messages import (
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

HANDLERS: dict[type, Callable] = {
    BeginAttempt: turns.begin,
    ReassignAttempt: turns.reassign,
    EndAttempt: turns.end,
    AbortAttempt: turns.abort,
    ClaimOperationKey: keys.claim,
    ResolveOperationKey: keys.resolve,
    ReleaseOperationKey: keys.release,
    SetRouting: routing_versions.set_routing,
    ReadRouting: routing_versions.read_routing,
    CompleteRetirement: routing_versions.complete_retirement,
}
RETIREMENT_HANDLERS: dict[type, Callable] = {
    RetireReplica: routing_versions.start_retirement,
    ReadRetirement: routing_versions.read_retirement,
}


def handles(op):
    """Tell whether an operation belongs to this ledger."""
    return type(op) in HANDLERS or type(op) in RETIREMENT_HANDLERS


def apply_operation(program_ledger, now_ms, members, voters, op):
    """members, voters: names. Raises KeyError for an operation that isn't the turn ledger's."""
    if type(op) in RETIREMENT_HANDLERS:
        return RETIREMENT_HANDLERS[type(op)](program_ledger, members, voters, op)
    return HANDLERS[type(op)](program_ledger, now_ms, op)


def expire_tombstone(program_ledger, now_ms, name):
    """Forget that an attempt has ended."""
    if program_ledger.tombs.get(name, 0) <= now_ms:
        program_ledger.tombs.pop(name, None)
        program_ledger.refused.pop(name, None)


EXPIRY_HANDLERS = {
    "attempt": turns.expire_attempt,
    "turn": turns.expire_turn,
    "account": turns.expire_account,
    "key": keys.expire_key,
    "tomb": expire_tombstone,
}


def expire(program_ledger, now_ms):
    """Do all that is due by `now_ms` of the ledger's clock."""
    while program_ledger.expiries and program_ledger.expiries[0][0] <= now_ms:
        _, kind, name = heappop(program_ledger.expiries)
        EXPIRY_HANDLERS[kind](program_ledger, now_ms, name)
    placement.expire_idle_runners(program_ledger, now_ms)
