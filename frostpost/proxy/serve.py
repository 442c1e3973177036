"""The way of one request: filters in order, then the way of its route's kind."""

from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_client import holds_lease

from .failures import BadRequest, Leaving, NoRoute, Overloaded, Unavailable
from .keyed import keyed
from .lookup import hand_over, lookup, retry_ms
from .routing import find_route, pick_service
from .run import Watch
from .stream import stream

RETRY_MS = 700
WAYS = {"safe": lookup, "unsafe": lookup, "idempotent": keyed, "streaming": stream}


def admit(agent, call):
    """(route, service, until_ms) of a call, or why it isn't taken."""
    if agent.leaving and agent.extras.get("last_call"):
        return Leaving()
    if agent.routing is None or not holds_lease(agent):
        return Unavailable(RETRY_MS, "lease")
    if not clean(call):
        return BadRequest("header")
    route = find_route(agent, call.host, call.uri.partition(b"?")[0].decode("latin-1"))
    if route is None:
        return NoRoute()
    service = pick_service(agent.routing, route, call.attempt)
    if service is None or route.kind not in WAYS:
        return Unavailable(RETRY_MS, "service")
    until_ms = min(call.deadline_ms, call.started_ms + route.timeout_ms)
    if until_ms <= now_ms(agent):
        return Overloaded(retry_ms(route))
    return route, service, until_ms


def clean(call):
    """Nothing in it could be read as another request."""
    if any(byte <= 32 for byte in call.uri + call.method) or not call.attempt or not call.host.isascii():
        return False
    head = b"".join(name + value for name, value in call.headers) + call.host.encode()
    return not (b"\n" in head or b"\r" in head or b"\0" in head)


@inlineCallbacks
def serve(agent, call, sink):
    """Serve a call; the Deferred fires once the sink has been told all."""
    count(agent, "requests")
    admitted = admit(agent, call)
    if not isinstance(admitted, tuple):
        return hand_over(agent, admitted, sink)
    route, service, until_ms = admitted
    agent.flights += 1
    try:
        yield WAYS[route.kind](agent, route, service, call, sink, until_ms, Watch(sink))
    finally:
        agent.flights -= 1
