"""The routing, one version after another, and storage daemons that are to be emptied."""

from .words import NoAttempt, RetireState, RoutingHeld, RoutingMoved, RoutingSet


def set_routing(program_ledger, now_ms, op):
    if op.version == program_ledger.routing_version and op.body == program_ledger.routing_body:
        return RoutingSet(op.version)
    if op.base != program_ledger.routing_version or op.version <= program_ledger.routing_version:
        return RoutingMoved(program_ledger.routing_version)
    program_ledger.routing_version, program_ledger.routing_body = op.version, op.body
    return RoutingSet(op.version)


def look_routing(program_ledger, now_ms, op):
    return RoutingHeld(program_ledger.routing_version, program_ledger.routing_body)


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
    if op.name not in program_ledger.retiring:
        return NoAttempt(op.name)
    program_ledger.retiring[op.name] = "completed"
    return RetireState("completed")


def look_retired(program_ledger, present, voters, op):
    held = program_ledger.retiring.get(op.name)
    known = op.name in present or op.name in voters
    if held == "completed" and known:
        return RetireState("in_service")
    return RetireState(held or ("in_service" if known else "unknown"))
