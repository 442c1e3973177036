"""Application of operations to the program ledger; deterministic, so that all replicas reach the same state."""

from collections.abc import Callable
from heapq import heappop

from . import adoption, keys, placement, record_owners, routing_versions, task_leases, turns
from .key_messages import ClaimOperationKey, ReleaseOperationKey, ResolveOperationKey
from .messages import (
    AbortAttempt,
    BeginAttempt,
    CompleteRetirement,
    EndAttempt,
    ReadRetirement,
    ReadRouting,
    ReassignAttempt,
    RetireReplica,
    SetRouting,
)
from .task_messages import ClaimTask, CloseUsageWindow, CompleteTask, SetCapacity

HANDLERS: dict[type, Callable] = {
    BeginAttempt: turns.begin,
    ReassignAttempt: turns.reassign,
    EndAttempt: turns.end,
    AbortAttempt: turns.abort,
    SetRouting: routing_versions.set_routing,
    ReadRouting: routing_versions.read_routing,
    CompleteRetirement: routing_versions.complete_retirement,
    ClaimTask: task_leases.claim,
    CompleteTask: task_leases.complete,
    CloseUsageWindow: task_leases.close_window,
    SetCapacity: task_leases.set_capacity,
}
KEY_HANDLERS: dict[type, Callable] = {
    ClaimOperationKey: keys.claim,
    ResolveOperationKey: keys.resolve,
    ReleaseOperationKey: keys.release,
}
RETIREMENT_HANDLERS: dict[type, Callable] = {
    RetireReplica: routing_versions.start_retirement,
    ReadRetirement: routing_versions.read_retirement,
}


def handles(op):
    """Return whether an operation is one of the program ledger."""
    return type(op) in HANDLERS or type(op) in KEY_HANDLERS or type(op) in RETIREMENT_HANDLERS


def apply_operation(program_ledger, now_ms, members, voters, op, rules=adoption.ADOPTION_RULES):
    """Execute an operation and return its result.

    `members` and `voters` are names, `rules` is the version of the ledger's rules in force. Raises KeyError for an
    operation that is not one of the program ledger.
    """
    op = adoption.under_rules(op, rules)
    if type(op) in RETIREMENT_HANDLERS:
        return RETIREMENT_HANDLERS[type(op)](program_ledger, members, voters, op)
    if type(op) in KEY_HANDLERS:
        name = record_owners.recorded_name(program_ledger, keys.record_name(op, rules), op.credential)
        return KEY_HANDLERS[type(op)](program_ledger, now_ms, op, name)
    return HANDLERS[type(op)](program_ledger, now_ms, op)


def expire_tombstone(program_ledger, now_ms, name):
    """Remove a tombstone, and the result of a refused attempt with it."""
    if program_ledger.tombs.get(name, 0) <= now_ms:
        program_ledger.tombs.pop(name, None)
        program_ledger.refused.pop(name, None)


EXPIRY_HANDLERS = {
    "attempt": turns.expire_attempt,
    "turn": turns.expire_turn,
    "account": turns.expire_account,
    "key": keys.expire_key,
    "adoption": adoption.expire_adoption,
    "tomb": expire_tombstone,
}


def expire(program_ledger, now_ms):
    """Run the expiries that are due by `now_ms` of the ledger's clock."""
    while program_ledger.expiries and program_ledger.expiries[0][0] <= now_ms:
        _, kind, name = heappop(program_ledger.expiries)
        EXPIRY_HANDLERS[kind](program_ledger, now_ms, name)
    placement.expire_idle_runners(program_ledger, now_ms)
    task_leases.expire(program_ledger, now_ms)
