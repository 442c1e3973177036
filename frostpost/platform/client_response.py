"""The response to a client's request, written by the proxy through its `Sink`."""

from msgspec import json
from twisted.internet.interfaces import IPushProducer
from twisted.web.http import NO_BODY_CODES
from zope.interface import implementer

from frostpost.proxy import failures
from frostpost.proxy.models import Sink

from .header_names import ATTEMPT_ID
from .server import close_after_response, reply

SHUTDOWN_RETRY_MS, ABORT_DELAY_S = 50, 2
STATUS_BY_FAILURE = {
    failures.NoRoute: 404,
    failures.BadRequest: 400,
    failures.InvalidCredential: 401,
    failures.UnknownTurn: 404,
    failures.BudgetSpent: 402,
    failures.AtWork: 409,
    failures.Unavailable: 503,
    failures.Overloaded: 503,
    failures.Leaving: 503,
    failures.Unknown: 502,
    failures.TimedOut: 504,
}


def retry_after_ms(failure):
    """Return the Retry-After time of a failure in milliseconds, or None if it has none."""
    return SHUTDOWN_RETRY_MS if isinstance(failure, failures.Leaving) else getattr(failure, "retry_ms", None)


@implementer(IPushProducer)
class ClientResponse:
    """The response to one request; a body that is complete within one reactor iteration gets a Content-Length."""

    __slots__ = (
        "agent",
        "request",
        "status",
        "headers",
        "started",
        "finished",
        "buffer",
        "flush_call",
        "content_length",
        "disconnect_callback",
        "pause_callback",
        "resume_callback",
    )

    def __init__(self, agent, request):
        self.agent, self.request, self.status, self.headers = agent, request, 0, ()
        self.started = self.finished = False
        self.buffer, self.flush_call, self.content_length = b"", None, None
        self.disconnect_callback = self.pause_callback = self.resume_callback = None
        agent.open_requests += 1
        request.on_finished = self.request_finished

    def sink(self):
        """Return the Sink through which the proxy writes this response."""
        return Sink(
            self.head,
            self.data,
            self.end,
            self.abort,
            self.fail,
            self.is_disconnected,
            self.on_disconnect,
            self.on_pause,
            self.on_resume,
        )

    def request_finished(self, disconnected):
        """Handle the end of the request; `disconnected` tells whether the client left before it."""
        self.agent.open_requests -= 1
        was_finished, self.finished = self.finished, True
        self.cancel_flush()
        if disconnected and not was_finished and self.disconnect_callback is not None:
            self.disconnect_callback()

    def cancel_flush(self):
        """Cancel the pending flush."""
        if self.flush_call is not None and self.flush_call.active():
            self.flush_call.cancel()
        self.flush_call = None

    def start(self):
        """Send the head and the buffered part of the body."""
        self.started, request = True, self.request
        request.setResponseCode(self.status)
        for name, value in self.headers:
            request.responseHeaders.addRawHeader(name, value)
        if self.agent.draining:
            close_after_response(request)
        buffer, self.buffer = self.buffer, b""
        request.write(buffer)

    def head(self, status, headers):
        """Take the head; that of an event stream is sent at once."""
        if self.finished:
            return
        self.status, self.headers = status, self.with_own_attempt_id(headers)
        values = {name.lower(): value for name, value in headers}
        if values.get(b"content-length", b"").isdigit():
            self.content_length = int(values[b"content-length"])
        if b"text/event-stream" in values.get(b"content-type", b""):
            self.start()

    def with_own_attempt_id(self, headers):
        """Return the headers with this request's attempt id; a replayed response has that of the first attempt."""
        own_id = self.request.requestHeaders.getRawHeaders(ATTEMPT_ID, (b"",))[0]
        return [(name, own_id if name.lower() == ATTEMPT_ID else value) for name, value in headers]

    def data(self, chunk):
        """Send a piece of the body, or buffer it until the end of the reactor iteration."""
        if self.finished or not chunk:
            return
        if self.started:
            self.request.write(chunk)
        else:
            self.buffer += chunk
            if self.flush_call is None:
                self.flush_call = self.agent.reactor.callLater(0, self.flush)

    def flush(self):
        """Send what is buffered."""
        self.flush_call = None
        if not self.finished:
            self.start()

    def end(self):
        """Complete the response; one that is shorter or longer than its Content-Length is aborted."""
        if self.finished:
            return
        self.cancel_flush()
        request, has_no_body = self.request, self.request.method == b"HEAD" or self.status in NO_BODY_CODES
        if not self.started:
            if self.content_length is None and not has_no_body:
                self.content_length = len(self.buffer)
                self.headers = [*self.headers, (b"Content-Length", b"%d" % self.content_length)]
            self.start()
        if self.content_length is not None and not has_no_body and request.sentLength != self.content_length:
            self.abort()
            return
        self.finished = True
        self.unregister_producer()
        request.finish()

    def unregister_producer(self):
        """Stop receiving the connection's backpressure."""
        if self.request.producer is not None:
            self.request.unregisterProducer()

    def abort(self):
        """Close an incomplete response; pending data is sent if the framing reveals the truncation, else discarded."""
        if self.finished:
            return
        self.finished = True
        self.cancel_flush()
        self.unregister_producer()
        transport, is_framed = self.request.channel.transport, self.request.chunked or self.content_length is not None
        if self.started and not is_framed:
            transport.abortConnection()
            return
        self.agent.reactor.callLater(ABORT_DELAY_S, transport.abortConnection)
        self.request.channel.loseConnection()

    def fail(self, failure):
        """Respond with a failure; a response that has started is aborted."""
        if self.finished:
            return
        if self.started:
            self.abort()
            return
        self.finished = True
        self.cancel_flush()
        self.unregister_producer()
        headers, retry_ms = [(b"Content-Type", b"application/json")], retry_after_ms(failure)
        if isinstance(failure, failures.InvalidCredential):
            headers.append((b"WWW-Authenticate", b"Bearer"))
        if retry_ms is not None:
            headers.append((b"Retry-After", b"%g" % (retry_ms / 1000)))
        close = self.agent.draining or isinstance(failure, failures.Leaving)
        reply(self.request, STATUS_BY_FAILURE.get(type(failure), 502), json.encode(failure), headers, close)

    def is_disconnected(self):
        """Return whether the response is complete or its client has left."""
        return self.finished

    def on_disconnect(self, callback):
        """Register the callback for the client leaving; called at once if it has left."""
        self.disconnect_callback = callback
        if self.request.disconnected:
            callback()

    def on_pause(self, callback):
        """Register the callback for backpressure; called at once if the connection is blocked."""
        self.pause_callback = callback
        self.register_producer()
        if not self.finished and self.request.channel._waitingForTransport:
            callback()

    def on_resume(self, callback):
        """Register the callback for the end of backpressure."""
        self.resume_callback = callback
        self.register_producer()

    def register_producer(self):
        """Start receiving the connection's backpressure."""
        if not self.finished and self.request.producer is None:
            self.request.registerProducer(self, True)

    def pauseProducing(self):
        """Handle backpressure from the connection."""
        if self.pause_callback is not None:
            self.pause_callback()

    def resumeProducing(self):
        """Handle the end of backpressure from the connection."""
        if self.resume_callback is not None:
            self.resume_callback()

    def stopProducing(self):
        """Do nothing, as `request_finished` reports the loss of the connection."""
