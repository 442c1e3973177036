"""Serves client requests: parses each into a `Call`, passes it to the proxy and writes the response."""

from twisted.internet.defer import maybeDeferred

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.attempt_tracing import is_traced, trace_request
from frostpost.daemon.structured_log import log_event
from frostpost.proxy import failures
from frostpost.proxy.models import ClientBounds

from .client_response import ClientResponse
from .request_parser import parse_request
from .server import Server

CONNECTION_RATIO = 0.6


def make_handler(agent, serve):
    """Return handle(request), which passes each request to serve(agent, call, sink)."""

    def handle(request):
        elapsed_ms = int((agent.reactor.seconds() - request.started_s) * 1000)
        response, result = ClientResponse(agent, request), parse_request(request, now_ms(agent) - elapsed_ms)
        if result.is_error():
            response.fail(result.error)
            return
        if is_traced(agent):
            trace_request(agent, result.ok, request)

        def report_failure(failure):
            log_event(
                "Internal",
                type=failure.type.__name__,
                text=failure.getErrorMessage()[:200],
                at=failure.getTraceback(detail="brief")[-400:],
            )
            response.fail(failures.Unknown("internal"))

        maybeDeferred(serve, agent, result.ok, response.sink()).addErrback(report_failure)

    return handle


def client_bounds(agent):
    """Return the bounds on client requests in the current routing."""
    return ClientBounds() if agent.routing is None else agent.routing.bounds


def make_server(agent, serve):
    """Create the server of the front address."""
    max_connections = max(64, int(agent.settings.max_fds * CONNECTION_RATIO))
    return Server(agent.reactor, make_handler(agent, serve), lambda: client_bounds(agent), max_connections)
