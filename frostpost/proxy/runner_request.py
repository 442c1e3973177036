"""Sending a request to one runner, with deadline, flow control and client disconnects."""

from twisted.internet.defer import Deferred

from frostpost.cluster.agent_context import now_ms

from . import load_balancing, pool
from .outcomes import Answer, Broken, ClientLeft, Late, NotSent, Whole

MOST_BODY = 8 << 20


class Watch:
    """Forwards a client's disconnect and backpressure to the send that is in progress."""

    __slots__ = ("left", "run", "paused")

    def __init__(self, sink):
        """Register for the sink's notifications."""
        self.left, self.run, self.paused = bool(sink.gone()), None, False
        sink.on_gone(self.gone)
        sink.on_pause(self.pause)
        sink.on_resume(self.resume)

    def gone(self, *_):
        """Handle the client's disconnect."""
        self.left = True
        if self.run is not None:
            self.run.client_left()

    def pause(self, *_):
        """Handle backpressure from the client."""
        self.paused = True
        if self.run is not None:
            self.run.pause()

    def resume(self, *_):
        """Handle the end of backpressure."""
        self.paused = False
        if self.run is not None:
            self.run.resume()


class Run:
    """Listener of one exchange. Streams a 2xx response to on_head and on_data if they are given; buffers any other."""

    __slots__ = (
        "agent",
        "runner",
        "watch",
        "on_head",
        "on_data",
        "handle",
        "timer",
        "ended",
        "answer_head",
        "chunks",
        "size",
        "streams",
    )

    def __init__(self, agent, runner, watch, on_head, on_data):
        self.agent, self.runner, self.watch, self.on_head, self.on_data = agent, runner, watch, on_head, on_data
        self.handle, self.timer, self.ended, self.answer_head = None, None, Deferred(), None
        self.chunks, self.size, self.streams = [], 0, False

    def start(self, call, body, until_ms):
        """Send the request; returns a Deferred of its outcome."""
        left_ms = until_ms - now_ms(self.agent)
        load_balancing.sent(self.agent, self.runner)
        if self.watch is not None:
            self.watch.run = self
        self.timer = self.agent.reactor.callLater(max(0, left_ms) / 1000, self.stop, Late(), "late")
        self.handle = pool.send(self.agent, self.runner, call, body, left_ms, self)
        return self.ended

    def head(self, head):
        """Handle the response head."""
        self.answer_head = head
        if self.on_head is not None and 200 <= head.status < 300:
            self.streams = True
            if self.watch is not None and self.watch.paused:
                self.pause()
            self.on_head(head)

    def data(self, data):
        """Handle a piece of the body."""
        if self.streams:
            return self.on_data(data)
        self.size += len(data)
        self.chunks.append(data)
        if self.size > MOST_BODY:
            self.stop(Broken("large"), "large")

    def done(self, outcome):
        """Handle the end of the exchange."""
        if isinstance(outcome, Whole) and not self.streams:
            head = self.answer_head
            outcome = Answer(head.status, head.headers, b"".join(self.chunks))
        self._end(outcome)

    def stop(self, outcome, why):
        """Stop the send with `outcome`, or with NotSent if nothing was written."""
        if not self.ended.called:
            self._end(outcome if self.handle is not None and self.handle.stop() else NotSent(why))

    def client_left(self):
        """Stop the send because its client disconnected."""
        self.stop(ClientLeft(), "left")

    def pause(self):
        """Stop reading a streamed response."""
        if self.streams:
            self.handle.pause()

    def resume(self):
        """Resume reading the response."""
        self.handle.resume()

    def _end(self, outcome):
        if self.ended.called:
            return
        if self.timer.active():
            self.timer.cancel()
        if self.watch is not None:
            self.watch.run = None
        head = self.handle.head if self.handle is not None else None
        load_balancing.ended(self.agent, self.runner, outcome, head)
        self.ended.callback(outcome)


def run_once(agent, runner, call, body, until_ms, watch=None, on_head=None, on_data=None):
    """Send a request to a runner; returns a Deferred of the outcome."""
    return Run(agent, runner, watch, on_head, on_data).start(call, body, until_ms)
