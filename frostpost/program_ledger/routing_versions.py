"""The routing, one version after another, and storage daemons that are to be emptied."""

from . import accepted_changes
from .messages import NoAttempt, RetirementState, RoutingConflict, RoutingForgotten, RoutingSet, RoutingState


def set_routing(program_ledger, now_ms, op):
    """Take a change on top of the version that it names; one that was taken already is told so, whatever came after."""
    if accepted_changes.was_accepted(program_ledger, op.version, op.digest):
        return RoutingSet(op.version)
    if accepted_changes.may_be_evicted(program_ledger, op.version):
        return RoutingForgotten(op.version)
    if op.base != program_ledger.routing_version or op.version <= program_ledger.routing_version:
        return RoutingConflict(program_ledger.routing_version)
    program_ledger.routing_version, program_ledger.routing_body = op.version, op.body
    accepted_changes.record(program_ledger, now_ms, op.version, op.digest, op.keep_ms)
    return RoutingSet(op.version)


def read_routing(program_ledger, now_ms, op):
    """The routing as it is at this place of the order."""
    taken = accepted_changes.was_accepted(program_ledger, op.version, op.digest)
    uncertain = not taken and accepted_changes.may_be_evicted(program_ledger, op.version)
    return RoutingState(program_ledger.routing_version, program_ledger.routing_body, taken, uncertain)


def start_retirement(program_ledger, present, voters, op):
    """present: storage daemons in the configuration. least: how many of them must remain."""
    if op.name in program_ledger.retiring:
        return RetirementState(program_ledger.retiring[op.name])
    if op.name not in present and op.name not in voters:
        return RetirementState("unknown")
    left = [n for n in present if n != op.name and n not in program_ledger.retiring]
    if len(left) < op.min_remaining:
        return RetirementState("few")
    program_ledger.retiring[op.name] = "in_service"
    return RetirementState("in_service")


def complete_retirement(program_ledger, now_ms, op):
    """Note that a storage daemon has been emptied."""
    if op.name not in program_ledger.retiring:
        return NoAttempt(op.name)
    program_ledger.retiring[op.name] = "completed"
    return RetirementState("completed")


def read_retirement(program_ledger, present, voters, op):
    """Return how far the retirement of a storage daemon is."""
    held = program_ledger.retiring.get(op.name)
    known = op.name in present or op.name in voters
    if held == "completed" and known:
        return RetirementState("in_service")
    return RetirementState(held or ("in_service" if known else "unknown"))
