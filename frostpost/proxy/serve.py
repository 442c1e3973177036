"""Entry point for client requests: admission checks, then dispatch by route kind."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import count, now_ms
from frostpost.cluster.lease_waiters import lease_lost_at_ms, may_serve, wait_for_lease

from .credentials import authenticate, id_scope_of, ranked_for
from .decision_record import RequestObserver
from .failures import BadRequest, Leaving, NoRoute, Overloaded, Unavailable
from .forwarding import deliver, retry_ms, serve_unordered
from .idempotency import serve_idempotent
from .models import Route, Service, Tenant
from .outcomes import ClientLeft
from .routing import find_route, pick_service
from .runner_request import ClientWatcher
from .stream import serve_stream
from .wait_policy import lease_wait_until_ms

UNAVAILABLE_RETRY_MS = 700
HANDLERS = {
    "safe": serve_unordered,
    "unsafe": serve_unordered,
    "idempotent": serve_idempotent,
    "streaming": serve_stream,
}


class Admitted(Struct, frozen=True):
    """An admitted request. until_ms: deadline for the complete response, on this daemon's clock."""

    tenant: Tenant
    route: Route
    service: Service
    until_ms: int


def is_shutting_down(agent):
    """Return whether this daemon is shutting down and has stopped accepting requests."""
    return agent.draining and bool(agent.attachments.get("last_call"))


def route_of(agent, call):
    """Return the route of a request in the current routing, or None."""
    return find_route(agent, call.host, call.uri.partition(b"?")[0].decode("latin-1"))


def deadline_of(call, route):
    """Return the deadline for the complete response."""
    return call.deadline_ms if route is None else min(call.deadline_ms, call.started_ms + route.timeout_ms)


def admit(agent, call):
    """Check whether a request can be served; returns Admitted or a failure."""
    if is_shutting_down(agent):
        return Leaving()
    if not may_serve(agent):
        return Unavailable(UNAVAILABLE_RETRY_MS, "lease")
    if not is_unambiguous(call):
        return BadRequest("header")
    route = route_of(agent, call)
    if route is None:
        return NoRoute()
    tenant = authenticate(agent.routing, route, call)
    if not isinstance(tenant, Tenant):
        return tenant
    service = pick_service(agent.routing, route, call.attempt)
    if service is None or route.kind not in HANDLERS:
        return Unavailable(UNAVAILABLE_RETRY_MS, "service")
    until_ms = deadline_of(call, route)
    if until_ms <= now_ms(agent):
        return Overloaded(retry_ms(route))
    return Admitted(tenant, ranked_for(tenant, route), service, until_ms)


def is_unambiguous(call):
    """Return whether the request has an attempt id and an ASCII host, and can't be parsed as another request."""
    if any(byte <= 32 for byte in call.uri + call.method) or not call.attempt or not call.host.isascii():
        return False
    head = b"".join(name + value for name, value in call.headers) + call.host.encode()
    return not (b"\n" in head or b"\r" in head or b"\0" in head)


@inlineCallbacks
def delay_for_lease(agent, call):
    """Wait until this daemon has a lease, as long as the request may be delayed for it."""
    now = now_ms(agent)
    remaining_ms = deadline_of(call, route_of(agent, call)) - now
    until_ms = lease_wait_until_ms(now, remaining_ms, lease_lost_at_ms(agent), agent.settings.lease_ms)
    yield wait_for_lease(agent, until_ms)
    call.delays.lease_ms = now_ms(agent) - now


@inlineCallbacks
def serve(agent, call, sink):
    """Serve a request; the returned Deferred fires when the sink is finished."""
    count(agent, "requests")
    observer = RequestObserver(agent, call, sink)
    sink = observer.observed_sink()
    agent.requests_in_flight += 1
    try:
        watcher = ClientWatcher(sink)
        if not may_serve(agent) and not is_shutting_down(agent):
            yield delay_for_lease(agent, call)
        admitted = ClientLeft() if watcher.disconnected else admit(agent, call)
        if not isinstance(admitted, Admitted):
            return deliver(agent, admitted, sink)
        route, call.tenant = admitted.route, admitted.tenant.name
        call.id_scope = id_scope_of(agent.routing, admitted.tenant, call)
        observer.route = route.name
        yield HANDLERS[route.kind](agent, route, admitted.service, call, sink, admitted.until_ms, watcher)
    finally:
        agent.requests_in_flight -= 1
