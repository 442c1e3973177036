from klein import Klein
from msgspec import json
from twisted.internet.defer import inlineCallbacks
from twisted.web.server import Request, Site

from frostpost.daemon.context import clock_ms, count
from frostpost.daemon.news import say

from . import calls, control, faults, reads, voting
from .lookups import lookup
from .turns import turn


def turn_away(request, fault, request_id):
    request.setResponseCode(fault.status)
    request.setHeader("content-type", "application/json")
    request.setHeader("x-request", request_id)
    retry = faults.retry_after(fault)
    if retry:
        request.setHeader("retry-after", retry)
    if isinstance(fault, faults.Leaving):
        request.setHeader("connection", "close")
        if request.channel is not None:
            request.channel.persistent = False
    return faults.body(fault, request_id)


def answer(request, document, request_id=""):
    request.setHeader("content-type", "application/json")
    if request_id:
        request.setHeader("x-request", request_id)
    return json.encode(document)


def watch_caller(call):
    def gone(_):
        call.gone = True
        if call.stop:
            call.stop()

    call.request.notifyFinish().addErrback(gone)


@inlineCallbacks
def serve(ctx, call, handler):
    fault = calls.admit(ctx, call)
    if fault is None:
        ctx.flights += 1
        watch_caller(call)
        try:
            result = yield handler(ctx, call)
        except Exception as broken:
            say("Internal", request=call.id, type=type(broken).__name__, text=str(broken)[:200])
            result = faults.Internal()
        finally:
            ctx.flights -= 1
    else:
        result = fault
    count(ctx, f"{call.kind}/{type(result).__name__ if result is not None else 'served'}")
    say(
        "call",
        request=call.id,
        lane=f"{call.tenant}/{call.lane_name}",
        took_ms=clock_ms(ctx) - call.started_ms,
        verdict="served" if result is None else type(result).__name__,
    )
    return result


@inlineCallbacks
def serve_turn(ctx, request, tenant, lane):
    call = calls.make(ctx, "turns", tenant, lane, request)
    fault = yield serve(ctx, call, turn)
    if call.gone:
        return b""
    if fault is None:
        return b""
    if call.emitted:
        return faults.body(fault, call.id) + b"\n"
    return turn_away(request, fault, call.id)


@inlineCallbacks
def serve_lookup(ctx, request, tenant, lane):
    call = calls.make(ctx, "lookups", tenant, lane, request)
    box = []

    @inlineCallbacks
    def handler(ctx, call):
        result = yield lookup(ctx, call)
        if result.is_error():
            return result.error
        box.append(result.ok)
        return None

    fault = yield serve(ctx, call, handler)
    if call.gone:
        return b""
    if fault is not None:
        return turn_away(request, fault, call.id)
    return answer(request, {"result": box[0], "request": call.id}, call.id)


class Bounded(Request):
    most_config, ctx = 64 << 20, None

    def gotLength(self, length):
        self.too_long = length is not None and length > self.most_config
        super().gotLength(0 if self.too_long else length)

    def handleContentChunk(self, data):
        self.took = getattr(self, "took", 0) + len(data)
        if self.took <= self.most_config:
            super().handleContentChunk(data)
        else:
            self.too_long = True

    def process(self):
        if getattr(self, "too_long", False):
            body = turn_away(self, faults.TooLong(self.most_config), "")
            self.setHeader("connection", "close")
            self.write(body)
            self.finish()
            return
        self.ctx.calls += 1
        self.notifyFinish().addBoth(self.over)
        super().process()

    def over(self, _):
        self.ctx.calls -= 1


class Door(Site):
    ctx = None

    def buildProtocol(self, addr):
        channel = super().buildProtocol(addr)
        lost, made = channel.connectionLost, channel.makeConnection

        def makeConnection(transport):
            self.ctx.channels[channel] = transport
            return made(transport)

        def connectionLost(reason):
            self.ctx.channels.pop(channel, None)
            return lost(reason)

        channel.connectionLost, channel.makeConnection = connectionLost, makeConnection
        return channel


def build(ctx):
    app = Klein()

    @app.route("/v1/tenants/<tenant>/lanes/<lane>/turns", methods=["POST"])
    def turns(request, tenant, lane):
        return serve_turn(ctx, request, tenant, lane)

    @app.route("/v1/tenants/<tenant>/lanes/<lane>/lookups", methods=["POST"])
    def lookups(request, tenant, lane):
        return serve_lookup(ctx, request, tenant, lane)

    control.routes(app, ctx, answer, turn_away)
    reads.routes(app, ctx, answer, turn_away)
    voting.routes(app, ctx, answer, turn_away)

    @app.handle_errors(Exception)
    def broken(request, failure):
        code = getattr(failure.value, "code", 500)
        if code == 404:
            return turn_away(request, faults.NoSuch("there is nothing at this path"), "")
        if code == 405:
            return turn_away(request, faults.WrongMethod(), "")
        say("Internal", type=failure.type.__name__, text=failure.getErrorMessage()[:200])
        return turn_away(request, faults.Internal(), "")

    site = Door(app.resource(), timeout=75, reactor=ctx.reactor)
    site.ctx = ctx
    bounded = type("Bounded", (Bounded,), {"most_config": ctx.settings.doors.config_bytes, "ctx": ctx})
    site.requestFactory = bounded
    site.displayTracebacks = False
    return site
