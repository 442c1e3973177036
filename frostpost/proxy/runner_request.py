"""Sending a request to one runner, with deadline, flow control and client disconnects."""

from twisted.internet.defer import Deferred

from frostpost.cluster.agent_context import now_ms

from . import load_balancing, pool, usage
from .outcomes import Answer, Broken, ClientLeft, Late, NotSent, Whole

MAX_BUFFERED_BYTES = 8 << 20


class ClientWatcher:
    """Forwards a client's disconnect and backpressure to the send that is in progress."""

    __slots__ = ("disconnected", "request", "paused")

    def __init__(self, sink):
        """Register for the sink's notifications."""
        self.disconnected, self.request, self.paused = bool(sink.is_disconnected()), None, False
        sink.on_disconnect(self.on_disconnect)
        sink.on_pause(self.pause)
        sink.on_resume(self.resume)

    def on_disconnect(self, *_):
        """Handle the client's disconnect."""
        self.disconnected = True
        if self.request is not None:
            self.request.on_disconnect()

    def pause(self, *_):
        """Handle backpressure from the client."""
        self.paused = True
        if self.request is not None:
            self.request.pause()

    def resume(self, *_):
        """Handle the end of backpressure."""
        self.paused = False
        if self.request is not None:
            self.request.resume()


class RunnerRequest:
    """Listener of one exchange. Streams a 2xx response to on_head and on_data if they are given; buffers any other."""

    __slots__ = (
        "agent",
        "runner",
        "watcher",
        "on_head",
        "on_data",
        "exchange",
        "timer",
        "finished",
        "response_head",
        "chunks",
        "size",
        "is_streaming",
        "has_data",
    )

    def __init__(self, agent, runner, watcher, on_head, on_data):
        self.agent, self.runner, self.watcher, self.on_head, self.on_data = agent, runner, watcher, on_head, on_data
        self.exchange, self.timer, self.finished, self.response_head = None, None, Deferred(), None
        self.chunks, self.size, self.is_streaming, self.has_data = [], 0, False, False

    def start(self, call, body, until_ms):
        """Send the request; returns a Deferred of its outcome."""
        remaining_ms = until_ms - now_ms(self.agent)
        load_balancing.count_sent(self.agent, self.runner)
        if self.watcher is not None:
            self.watcher.request = self
        self.timer = self.agent.reactor.callLater(max(0, remaining_ms) / 1000, self.stop, Late(), "late")
        self.exchange = pool.send(self.agent, self.runner, call, body, remaining_ms, self)
        return self.finished

    def head(self, head):
        """Handle the response head."""
        self.response_head = head
        if self.on_head is not None and 200 <= head.status < 300:
            self.is_streaming = True
            if self.watcher is not None and self.watcher.paused:
                self.pause()
            self.on_head(head)

    def data(self, data):
        """Handle a piece of the body."""
        if self.is_streaming:
            if not self.has_data:
                self.has_data = True
                usage.count_first_event(self.agent, self.exchange.call)
            return self.on_data(data)
        self.size += len(data)
        self.chunks.append(data)
        if self.size > MAX_BUFFERED_BYTES:
            self.stop(Broken("large"), "large")

    def done(self, outcome):
        """Handle the end of the exchange."""
        if isinstance(outcome, Whole) and not self.is_streaming:
            head = self.response_head
            outcome = Answer(head.status, head.headers, b"".join(self.chunks))
        self._end(outcome)

    def stop(self, outcome, reason):
        """Stop the send with `outcome`, or with NotSent if nothing was written."""
        if not self.finished.called:
            self._end(outcome if self.exchange is not None and self.exchange.stop() else NotSent(reason))

    def on_disconnect(self):
        """Stop the send because its client disconnected."""
        self.stop(ClientLeft(), "left")

    def pause(self):
        """Stop reading a streamed response."""
        if self.is_streaming:
            self.exchange.pause()

    def resume(self):
        """Resume reading the response."""
        self.exchange.resume()

    def _end(self, outcome):
        if self.finished.called:
            return
        if self.timer.active():
            self.timer.cancel()
        if self.watcher is not None:
            self.watcher.request = None
        head = self.exchange.head if self.exchange is not None else None
        if self.on_head is None and self.exchange is not None:
            usage.count_plain_run(self.agent, self.exchange, outcome)
        load_balancing.count_ended(self.agent, self.runner, outcome, head)
        self.finished.callback(outcome)


def send_once(agent, runner, call, body, until_ms, watcher=None, on_head=None, on_data=None):
    """Send a request to a runner; returns a Deferred of the outcome."""
    return RunnerRequest(agent, runner, watcher, on_head, on_data).start(call, body, until_ms)
