"""The HTTP site: paths, the lifecycle of requests, and the encoding of results as responses."""

from klein import Klein
from msgspec import json
from twisted.internet.defer import inlineCallbacks
from twisted.web.server import Request, Site

from frostpost.daemon.context import clock_ms, count
from frostpost.daemon.structured_log import log_event

from . import calls, control, errors, read_endpoints, voter_changes
from .lookups import lookup
from .turns import turn


def error_response(request, error, request_id):
    """Set status and headers of an error response and return its body; Retry-After is set for retryable errors."""
    request.setResponseCode(error.status)
    request.setHeader("content-type", "application/json")
    request.setHeader("x-request", request_id)
    retry_after = errors.retry_after(error)
    if retry_after:
        request.setHeader("retry-after", retry_after)
    if isinstance(error, errors.Leaving):
        request.setHeader("connection", "close")
        if request.channel is not None:
            request.channel.persistent = False
    return errors.encode_error(error, request_id)


def json_response(request, document, request_id=""):
    """Set the headers of a successful response and return its JSON body."""
    request.setHeader("content-type", "application/json")
    if request_id:
        request.setHeader("x-request", request_id)
    return json.encode(document)


def watch_disconnect(call):
    """Cancel a call when its client closes the connection."""

    def on_disconnect(_):
        call.client_gone = True
        if call.cancel:
            call.cancel()

    call.request.notifyFinish().addErrback(on_disconnect)


@inlineCallbacks
def run_call(ctx, call, handler):
    """Admit a call, run its handler, and log and count the result; returns an error or None."""
    error = calls.admit(ctx, call)
    if error is None:
        ctx.requests_in_flight += 1
        watch_disconnect(call)
        try:
            result = yield handler(ctx, call)
        except Exception as exception:
            log_event("Internal", request=call.id, type=type(exception).__name__, text=str(exception)[:200])
            result = errors.Internal()
        finally:
            ctx.requests_in_flight -= 1
    else:
        result = error
    count(ctx, f"{call.kind}/{type(result).__name__ if result is not None else 'served'}")
    log_event(
        "call",
        request=call.id,
        route=f"{call.tenant}/{call.route_name}",
        took_ms=clock_ms(ctx) - call.started_ms,
        result="served" if result is None else type(result).__name__,
    )
    return result


@inlineCallbacks
def serve_turn(ctx, request, tenant, route):
    """Serve a turn; an error after the first piece is sent as the last line of the stream."""
    call = calls.create_call(ctx, "turns", tenant, route, request)
    error = yield run_call(ctx, call, turn)
    if call.client_gone:
        return b""
    if error is None:
        return b""
    if call.pieces_sent:
        return errors.encode_error(error, call.id) + b"\n"
    return error_response(request, error, call.id)


@inlineCallbacks
def serve_lookup(ctx, request, tenant, route):
    """Serve a lookup."""
    call = calls.create_call(ctx, "lookups", tenant, route, request)
    results = []

    @inlineCallbacks
    def handler(ctx, call):
        result = yield lookup(ctx, call)
        if result.is_error():
            return result.error
        results.append(result.ok)
        return None

    error = yield run_call(ctx, call, handler)
    if call.client_gone:
        return b""
    if error is not None:
        return error_response(request, error, call.id)
    return json_response(request, {"result": results[0], "request": call.id}, call.id)


class BoundedRequest(Request):
    """A request whose body is limited to the largest allowed configuration."""

    max_body_bytes, ctx = 64 << 20, None

    def gotLength(self, length):
        """Mark a request whose declared length exceeds the limit, before its body is read."""
        self.too_long = length is not None and length > self.max_body_bytes
        super().gotLength(0 if self.too_long else length)

    def handleContentChunk(self, data):
        """Buffer the body up to the limit and discard the rest."""
        self.received_bytes = getattr(self, "received_bytes", 0) + len(data)
        if self.received_bytes <= self.max_body_bytes:
            super().handleContentChunk(data)
        else:
            self.too_long = True

    def process(self):
        """Refuse an oversized request; serve any other and count it as open until it ends."""
        if getattr(self, "too_long", False):
            body = error_response(self, errors.TooLong(self.max_body_bytes), "")
            self.setHeader("connection", "close")
            self.write(body)
            self.finish()
            return
        self.ctx.open_requests += 1
        self.notifyFinish().addBoth(self.on_finished)
        super().process()

    def on_finished(self, _):
        """Count the request as ended."""
        self.ctx.open_requests -= 1


class TrackingSite(Site):
    """A site that tracks its open channels, so that they can be closed on shutdown."""

    ctx = None

    def buildProtocol(self, addr):
        """Create a channel that is registered while it is connected."""
        channel = super().buildProtocol(addr)
        connection_lost, make_connection = channel.connectionLost, channel.makeConnection

        def makeConnection(transport):
            self.ctx.connections[channel] = transport
            return make_connection(transport)

        def connectionLost(reason):
            self.ctx.connections.pop(channel, None)
            return connection_lost(reason)

        channel.connectionLost, channel.makeConnection = connectionLost, makeConnection
        return channel


def build_site(ctx):
    """Return the site with all paths of the HTTP interface."""
    app = Klein()

    @app.route("/v1/tenants/<tenant>/routes/<route>/turns", methods=["POST"])
    def post_turn(request, tenant, route):
        return serve_turn(ctx, request, tenant, route)

    @app.route("/v1/tenants/<tenant>/routes/<route>/lookups", methods=["POST"])
    def post_lookup(request, tenant, route):
        return serve_lookup(ctx, request, tenant, route)

    control.add_routes(app, ctx, json_response, error_response)
    read_endpoints.add_routes(app, ctx, json_response, error_response)
    voter_changes.add_routes(app, ctx, json_response, error_response)

    @app.handle_errors(Exception)
    def handle_exception(request, failure):
        code = getattr(failure.value, "code", 500)
        if code == 404:
            return error_response(request, errors.NoSuch("there is nothing at this path"), "")
        if code == 405:
            return error_response(request, errors.WrongMethod(), "")
        log_event("Internal", type=failure.type.__name__, text=failure.getErrorMessage()[:200])
        return error_response(request, errors.Internal(), "")

    site = TrackingSite(app.resource(), timeout=75, reactor=ctx.reactor)
    site.ctx = ctx
    request_class = type(
        "BoundedRequest", (BoundedRequest,), {"max_body_bytes": ctx.settings.doors.config_bytes, "ctx": ctx}
    )
    site.requestFactory = request_class
    site.displayTracebacks = False
    return site
