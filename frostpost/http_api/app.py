"""The HTTP site: paths, request lifecycle, and how results become responses."""

from klein import Klein
from msgspec import json
from twisted.internet.defer import inlineCallbacks
from twisted.web.server import Request, Site

from frostpost.daemon.context import clock_ms, count
from frostpost.daemon.structured_log import log_event

from . import calls, control, errors, reads, voting
from .lookups import lookup
from .turns import turn


def refuse(request, error, request_id):
    """Write an error response, with Retry-After where another try makes sense, and return its body."""
    request.setResponseCode(error.status)
    request.setHeader("content-type", "application/json")
    request.setHeader("x-request", request_id)
    retry = errors.retry_after(error)
    if retry:
        request.setHeader("retry-after", retry)
    if isinstance(error, errors.Leaving):
        request.setHeader("connection", "close")
        if request.channel is not None:
            request.channel.persistent = False
    return errors.body(error, request_id)


def answer(request, document, request_id=""):
    """Set the headers of a successful response and return its JSON body."""
    request.setHeader("content-type", "application/json")
    if request_id:
        request.setHeader("x-request", request_id)
    return json.encode(document)


def watch_caller(call):
    """Stop the call's work when its client closes the connection."""

    def gone(_):
        call.gone = True
        if call.stop:
            call.stop()

    call.request.notifyFinish().addErrback(gone)


@inlineCallbacks
def serve(ctx, call, handler):
    """Admit a call, run its handler, and log and count the result; returns an error or None."""
    error = calls.admit(ctx, call)
    if error is None:
        ctx.requests_in_flight += 1
        watch_caller(call)
        try:
            result = yield handler(ctx, call)
        except Exception as broken:
            log_event("Internal", request=call.id, type=type(broken).__name__, text=str(broken)[:200])
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
    """Serve a turn; an error after the first piece becomes the last line of the stream."""
    call = calls.make(ctx, "turns", tenant, route, request)
    error = yield serve(ctx, call, turn)
    if call.gone:
        return b""
    if error is None:
        return b""
    if call.emitted:
        return errors.body(error, call.id) + b"\n"
    return refuse(request, error, call.id)


@inlineCallbacks
def serve_lookup(ctx, request, tenant, route):
    """Serve a lookup."""
    call = calls.make(ctx, "lookups", tenant, route, request)
    box = []

    @inlineCallbacks
    def handler(ctx, call):
        result = yield lookup(ctx, call)
        if result.is_error():
            return result.error
        box.append(result.ok)
        return None

    error = yield serve(ctx, call, handler)
    if call.gone:
        return b""
    if error is not None:
        return refuse(request, error, call.id)
    return answer(request, {"result": box[0], "request": call.id}, call.id)


class Bounded(Request):
    """A request whose body may not be longer than a configuration."""

    most_config, ctx = 64 << 20, None

    def gotLength(self, length):
        """Refuse a declared length over the bound before the body is read."""
        self.too_long = length is not None and length > self.most_config
        super().gotLength(0 if self.too_long else length)

    def handleContentChunk(self, data):
        """Read the body up to the bound."""
        self.took = getattr(self, "took", 0) + len(data)
        if self.took <= self.most_config:
            super().handleContentChunk(data)
        else:
            self.too_long = True

    def process(self):
        """Refuse an oversized request, or count it and serve it."""
        if getattr(self, "too_long", False):
            body = refuse(self, errors.TooLong(self.most_config), "")
            self.setHeader("connection", "close")
            self.write(body)
            self.finish()
            return
        self.ctx.open_requests += 1
        self.notifyFinish().addBoth(self.over)
        super().process()

    def over(self, _):
        """Count the request as ended."""
        self.ctx.open_requests -= 1


class Door(Site):
    """The HTTP site; it keeps the open channels so that a leaving daemon can close them."""

    ctx = None

    def buildProtocol(self, addr):
        """Make a channel that is registered while it is connected."""
        channel = super().buildProtocol(addr)
        lost, made = channel.connectionLost, channel.makeConnection

        def makeConnection(transport):
            self.ctx.connections[channel] = transport
            return made(transport)

        def connectionLost(reason):
            self.ctx.connections.pop(channel, None)
            return lost(reason)

        channel.connectionLost, channel.makeConnection = connectionLost, makeConnection
        return channel


def build(ctx):
    """Return the site with all paths of the interface."""
    app = Klein()

    @app.route("/v1/tenants/<tenant>/routes/<route>/turns", methods=["POST"])
    def turns(request, tenant, route):
        return serve_turn(ctx, request, tenant, route)

    @app.route("/v1/tenants/<tenant>/routes/<route>/lookups", methods=["POST"])
    def lookups(request, tenant, route):
        return serve_lookup(ctx, request, tenant, route)

    control.routes(app, ctx, answer, refuse)
    reads.routes(app, ctx, answer, refuse)
    voting.routes(app, ctx, answer, refuse)

    @app.handle_errors(Exception)
    def broken(request, failure):
        code = getattr(failure.value, "code", 500)
        if code == 404:
            return refuse(request, errors.NoSuch("there is nothing at this path"), "")
        if code == 405:
            return refuse(request, errors.WrongMethod(), "")
        log_event("Internal", type=failure.type.__name__, text=failure.getErrorMessage()[:200])
        return refuse(request, errors.Internal(), "")

    site = Door(app.resource(), timeout=75, reactor=ctx.reactor)
    site.ctx = ctx
    bounded = type("Bounded", (Bounded,), {"most_config": ctx.settings.doors.config_bytes, "ctx": ctx})
    site.requestFactory = bounded
    site.displayTracebacks = False
    return site
