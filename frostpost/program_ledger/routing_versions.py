"""Versions of the routing, and the retirement of storage daemons."""

from . import accepted_changes, adoption
from .messages import NoAttempt, RetirementState, RoutingConflict, RoutingForgotten, RoutingSet, RoutingState


def set_routing(program_ledger, now_ms, op):
    """Accept a change if its base is the current version; acknowledge again one that was accepted before."""
    if accepted_changes.was_accepted(program_ledger, op.version, op.digest):
        return RoutingSet(op.version)
    if accepted_changes.may_have_been_evicted(program_ledger, op.version):
        return RoutingForgotten(op.version)
    if op.base != program_ledger.routing_version or op.version <= program_ledger.routing_version:
        return RoutingConflict(program_ledger.routing_version)
    program_ledger.routing_version, program_ledger.routing_body = op.version, op.body
    adoption.adopt(program_ledger, now_ms, op.adopted)
    accepted_changes.record(program_ledger, now_ms, op.version, op.digest, op.retention_ms)
    return RoutingSet(op.version)


def read_routing(program_ledger, now_ms, op):
    """Return the current routing, and whether the change in the operation was accepted."""
    accepted = accepted_changes.was_accepted(program_ledger, op.version, op.digest)
    uncertain = not accepted and accepted_changes.may_have_been_evicted(program_ledger, op.version)
    return RoutingState(program_ledger.routing_version, program_ledger.routing_body, accepted, uncertain)


def start_retirement(program_ledger, present, voters, op):
    """Start the retirement of a storage daemon, unless too few would remain.

    `present` are the names of the storage daemons in the configuration.
    """
    if op.name in program_ledger.retiring:
        return RetirementState(program_ledger.retiring[op.name])
    if op.name not in present and op.name not in voters:
        return RetirementState("unknown")
    remaining = [name for name in present if name != op.name and name not in program_ledger.retiring]
    if len(remaining) < op.min_remaining:
        return RetirementState("few")
    program_ledger.retiring[op.name] = "in_service"
    return RetirementState("in_service")


def complete_retirement(program_ledger, now_ms, op):
    """Record that a storage daemon has completed its retirement."""
    if op.name not in program_ledger.retiring:
        return NoAttempt(op.name)
    program_ledger.retiring[op.name] = "completed"
    return RetirementState("completed")


def read_retirement(program_ledger, present, voters, op):
    """Return the state of a storage daemon's retirement.

    A retired daemon that is present again or a voter counts as in service.
    """
    state = program_ledger.retiring.get(op.name)
    known = op.name in present or op.name in voters
    if state == "completed" and known:
        return RetirementState("in_service")
    return RetirementState(state or ("in_service" if known else "unknown"))
