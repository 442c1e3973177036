"""The routing, one version after another, and storage daemons that are to be emptied."""

from . import taken_changes
from .words import NoAttempt, RetireState, RoutingForgotten, RoutingHeld, RoutingMoved, RoutingSet


def set_routing(program_ledger, now_ms, op):
    """Take a change on top of the version that it names; one that was taken already is told so, whatever came after."""
    if taken_changes.was_taken(program_ledger, op.version, op.digest):
        return RoutingSet(op.version)
    if taken_changes.may_be_forgotten(program_ledger, op.version):
        return RoutingForgotten(op.version)
    if op.base != program_ledger.routing_version or op.version <= program_ledger.routing_version:
        return RoutingMoved(program_ledger.routing_version)
    program_ledger.routing_version, program_ledger.routing_body = op.version, op.body
    taken_changes.remember(program_ledger, now_ms, op.version, op.digest, op.keep_ms)
    return RoutingSet(op.version)


def look_routing(program_ledger, now_ms, op):
    """The routing as it is at this place of the order."""
    taken = taken_changes.was_taken(program_ledger, op.version, op.digest)
    uncertain = not taken and taken_changes.may_be_forgotten(program_ledger, op.version)
    return RoutingHeld(program_ledger.routing_version, program_ledger.routing_body, taken, uncertain)


def retire(program_ledger, present, voters, op):
    """present: storage daemons in the configuration. least: how many of them must remain."""
    if op.name in program_ledger.retiring:
        return RetireState(program_ledger.retiring[op.name])
    if op.name not in present and op.name not in voters:
        return RetireState("unknown")
    left = [n for n in present if n != op.name and n not in program_ledger.retiring]
    if len(left) < op.least:
        return RetireState("few")
    program_ledger.retiring[op.name] = "in_service"
    return RetireState("in_service")


def retired(program_ledger, now_ms, op):
    """Note that a storage daemon has been emptied."""
    if op.name not in program_ledger.retiring:
        return NoAttempt(op.name)
    program_ledger.retiring[op.name] = "completed"
    return RetireState("completed")


def look_retired(program_ledger, present, voters, op):
    """Return how far the retirement of a storage daemon is."""
    held = program_ledger.retiring.get(op.name)
    known = op.name in present or op.name in voters
    if held == "completed" and known:
        return RetireState("in_service")
    return RetireState(held or ("in_service" if known else "unknown"))
