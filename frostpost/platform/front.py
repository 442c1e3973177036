"""Requests of the platform's clients, translated into `Call`, and answers back."""

from msgspec import json
from twisted.internet.defer import maybeDeferred
from twisted.internet.interfaces import IPushProducer
from twisted.web.http import NO_BODY_CODES
from zope.interface import implementer

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.attempt_tracing import is_traced, trace_request
from frostpost.daemon.structured_log import log_event
from frostpost.proxy import failures
from frostpost.proxy.models import ClientBounds, Sink

from .header_names import ATTEMPT
from .request_parser import call_of
from .server import Server, close_after, reply

LEAVING_RETRY_MS, CUT_S, CHANNEL_SHARE = 50, 2, 0.6
STATUS = {
    failures.NoRoute: 404,
    failures.BadRequest: 400,
    failures.UnknownTurn: 404,
    failures.BudgetSpent: 402,
    failures.AtWork: 409,
    failures.Unavailable: 503,
    failures.Overloaded: 503,
    failures.Leaving: 503,
    failures.Unknown: 502,
    failures.TimedOut: 504,
}


def retry_ms_of(failure):
    return LEAVING_RETRY_MS if isinstance(failure, failures.Leaving) else getattr(failure, "retry_ms", None)


@implementer(IPushProducer)
class Answer:
    """The way of one answer to its client; a body that is whole within one turn of the reactor gets a length."""

    __slots__ = (
        "agent",
        "request",
        "status",
        "headers",
        "begun",
        "over",
        "held",
        "flushing",
        "length",
        "gone_",
        "paused",
        "resumed",
    )

    def __init__(self, agent, request):
        self.agent, self.request, self.status, self.headers = agent, request, 0, ()
        self.begun = self.over = False
        self.held, self.flushing, self.length = b"", None, None
        self.gone_ = self.paused = self.resumed = None
        agent.open_requests += 1
        request.on_over = self.ended

    def sink(self):
        return Sink(
            self.head,
            self.data,
            self.end,
            self.cut,
            self.failed,
            self.gone,
            self.on_gone,
            self.on_pause,
            self.on_resume,
        )

    def ended(self, lost):
        self.agent.open_requests -= 1
        seen, self.over = self.over, True
        self.stop_flushing()
        if lost and not seen and self.gone_ is not None:
            self.gone_()

    def stop_flushing(self):
        if self.flushing is not None and self.flushing.active():
            self.flushing.cancel()
        self.flushing = None

    def begin(self):
        self.begun, request = True, self.request
        request.setResponseCode(self.status)
        for name, value in self.headers:
            request.responseHeaders.addRawHeader(name, value)
        if self.agent.draining:
            close_after(request)
        held, self.held = self.held, b""
        request.write(held)

    def head(self, status, headers):
        if self.over:
            return
        self.status, self.headers = status, self.under_own_id(headers)
        low = {name.lower(): value for name, value in headers}
        if low.get(b"content-length", b"").isdigit():
            self.length = int(low[b"content-length"])
        if b"text/event-stream" in low.get(b"content-type", b""):
            self.begin()

    def under_own_id(self, headers):
        """Headers that name this request's attempt: what a key's first request was answered names that one's."""
        own = self.request.requestHeaders.getRawHeaders(ATTEMPT, (b"",))[0]
        return [(name, own if name.lower() == ATTEMPT else value) for name, value in headers]

    def data(self, piece):
        if self.over or not piece:
            return
        if self.begun:
            self.request.write(piece)
        else:
            self.held += piece
            if self.flushing is None:
                self.flushing = self.agent.reactor.callLater(0, self.flush)

    def flush(self):
        self.flushing = None
        if not self.over:
            self.begin()

    def end(self):
        if self.over:
            return
        self.stop_flushing()
        request, bodiless = self.request, self.request.method == b"HEAD" or self.status in NO_BODY_CODES
        if not self.begun:
            if self.length is None and not bodiless:
                self.length = len(self.held)
                self.headers = [*self.headers, (b"Content-Length", b"%d" % self.length)]
            self.begin()
        if self.length is not None and not bodiless and request.sentLength != self.length:
            self.cut()
            return
        self.over = True
        self.stop_producing()
        request.finish()

    def stop_producing(self):
        if self.request.producer is not None:
            self.request.unregisterProducer()

    def cut(self):
        """Close without an end; what was handed over is still sent, where the client can tell that more is missing."""
        if self.over:
            return
        self.over = True
        self.stop_flushing()
        self.stop_producing()
        transport, framed = self.request.channel.transport, self.request.chunked or self.length is not None
        if self.begun and not framed:
            transport.abortConnection()
            return
        self.agent.reactor.callLater(CUT_S, transport.abortConnection)
        self.request.channel.loseConnection()

    def failed(self, failure):
        if self.over:
            return
        if self.begun:
            self.cut()
            return
        self.over = True
        self.stop_flushing()
        self.stop_producing()
        headers, retry_ms = [(b"Content-Type", b"application/json")], retry_ms_of(failure)
        if retry_ms is not None:
            headers.append((b"Retry-After", b"%g" % (retry_ms / 1000)))
        close = self.agent.draining or isinstance(failure, failures.Leaving)
        reply(self.request, STATUS.get(type(failure), 502), json.encode(failure), headers, close)

    def gone(self):
        return self.over

    def on_gone(self, callback):
        self.gone_ = callback
        if self.request.lost:
            callback()

    def on_pause(self, callback):
        self.paused = callback
        self.produce()
        if not self.over and self.request.channel._waitingForTransport:
            callback()

    def on_resume(self, callback):
        self.resumed = callback
        self.produce()

    def produce(self):
        if not self.over and self.request.producer is None:
            self.request.registerProducer(self, True)

    def pauseProducing(self):
        if self.paused is not None:
            self.paused()

    def resumeProducing(self):
        if self.resumed is not None:
            self.resumed()

    def stopProducing(self):
        pass


def handler(agent, serve):
    """handle(request) that passes every request to serve(agent, call, sink)."""

    def handle(request):
        waited_ms = int((agent.reactor.seconds() - request.started_s) * 1000)
        answer, result = Answer(agent, request), call_of(request, now_ms(agent) - waited_ms)
        if result.is_error():
            answer.failed(result.error)
            return
        if is_traced(agent):
            trace_request(agent, result.ok, request)

        def broken(failure):
            log_event(
                "Internal",
                type=failure.type.__name__,
                text=failure.getErrorMessage()[:200],
                at=failure.getTraceback(detail="brief")[-400:],
            )
            answer.failed(failures.Unknown("internal"))

        maybeDeferred(serve, agent, result.ok, answer.sink()).addErrback(broken)

    return handle


def bounds_of(agent):
    return ClientBounds() if agent.routing is None else agent.routing.bounds


def server(agent, serve):
    """The server of the front address."""
    most_channels = max(64, int(agent.settings.max_fds * CHANNEL_SHARE))
    return Server(agent.reactor, handler(agent, serve), lambda: bounds_of(agent), most_channels)
