"""The routing, one version after another, and storage daemons that are to be emptied."""

from .words import NoAttempt, RetireState, RoutingHeld, RoutingMoved, RoutingSet


def set_routing(coppice, now_ms, op):
    if op.version == coppice.routing_version and op.body == coppice.routing_body:
        return RoutingSet(op.version)
    if op.base != coppice.routing_version or op.version <= coppice.routing_version:
        return RoutingMoved(coppice.routing_version)
    coppice.routing_version, coppice.routing_body = op.version, op.body
    return RoutingSet(op.version)


def look_routing(coppice, now_ms, op):
    return RoutingHeld(coppice.routing_version, coppice.routing_body)


def retire(coppice, present, voters, op):
    """present: storage daemons in the configuration. least: how many of them must remain."""
    if op.name in coppice.retiring:
        return RetireState(coppice.retiring[op.name])
    if op.name not in present and op.name not in voters:
        return RetireState("unknown")
    left = [n for n in present if n != op.name and n not in coppice.retiring]
    if len(left) < op.least:
        return RetireState("few")
    coppice.retiring[op.name] = "in_service"
    return RetireState("in_service")


def retired(coppice, now_ms, op):
    if op.name not in coppice.retiring:
        return NoAttempt(op.name)
    coppice.retiring[op.name] = "completed"
    return RetireState("completed")


def look_retired(coppice, present, voters, op):
    held = coppice.retiring.get(op.name)
    known = op.name in present or op.name in voters
    if held == "completed" and known:
        return RetireState("in_service")
    return RetireState(held or ("in_service" if known else "unknown"))
