"""One send of a call to one runner, until its outcome is known."""

from twisted.internet.defer import Deferred

from frostpost.cluster.agent_context import now_ms

from . import picking, pool
from .outcomes import Answer, Broken, ClientLeft, Late, NotSent, Whole

MOST_BODY = 8 << 20


class Watch:
    """What the client of one call does, told to whoever serves it at the moment."""

    __slots__ = ("left", "run", "paused")

    def __init__(self, sink):
        """Ask the sink to tell what its client does."""
        self.left, self.run, self.paused = bool(sink.gone()), None, False
        sink.on_gone(self.gone)
        sink.on_pause(self.pause)
        sink.on_resume(self.resume)

    def gone(self, *_):
        """The client left."""
        self.left = True
        if self.run is not None:
            self.run.client_left()

    def pause(self, *_):
        """The client reads too slowly for now."""
        self.paused = True
        if self.run is not None:
            self.run.pause()

    def resume(self, *_):
        """The client reads on."""
        self.paused = False
        if self.run is not None:
            self.run.resume()


class Run:
    """A listener of one exchange. A 2xx answer goes to on_head and on_data if there are any, else it is held back."""

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
        """Belong to one runner; nothing is sent yet."""
        self.agent, self.runner, self.watch, self.on_head, self.on_data = agent, runner, watch, on_head, on_data
        self.handle, self.timer, self.ended, self.answer_head = None, None, Deferred(), None
        self.chunks, self.size, self.streams = [], 0, False

    def start(self, call, body, until_ms):
        """Send the call; the Deferred fires with its outcome."""
        left_ms = until_ms - now_ms(self.agent)
        picking.sent(self.agent, self.runner)
        if self.watch is not None:
            self.watch.run = self
        self.timer = self.agent.reactor.callLater(max(0, left_ms) / 1000, self.stop, Late(), "late")
        self.handle = pool.send(self.agent, self.runner, call, body, left_ms, self)
        return self.ended

    def head(self, head):
        """The head of the answer came."""
        self.answer_head = head
        if self.on_head is not None and 200 <= head.status < 300:
            self.streams = True
            if self.watch is not None and self.watch.paused:
                self.pause()
            self.on_head(head)

    def data(self, data):
        """A piece of the body came."""
        if self.streams:
            return self.on_data(data)
        self.size += len(data)
        self.chunks.append(data)
        if self.size > MOST_BODY:
            self.stop(Broken("large"), "large")

    def done(self, outcome):
        """The exchange ended by itself."""
        if isinstance(outcome, Whole) and not self.streams:
            head = self.answer_head
            outcome = Answer(head.status, head.headers, b"".join(self.chunks))
        self._end(outcome)

    def stop(self, outcome, why):
        """End it now; when nothing was written it counts as not sent."""
        if not self.ended.called:
            self._end(outcome if self.handle is not None and self.handle.stop() else NotSent(why))

    def client_left(self):
        """End it since its client left."""
        self.stop(ClientLeft(), "left")

    def pause(self):
        """Read no more of a streamed answer for now."""
        if self.streams:
            self.handle.pause()

    def resume(self):
        """Read on."""
        self.handle.resume()

    def _end(self, outcome):
        if self.ended.called:
            return
        if self.timer.active():
            self.timer.cancel()
        if self.watch is not None:
            self.watch.run = None
        head = self.handle.head if self.handle is not None else None
        picking.ended(self.agent, self.runner, outcome, head)
        self.ended.callback(outcome)


def run_once(agent, runner, call, body, until_ms, watch=None, on_head=None, on_data=None):
    """Deferred outcome of sending a call to a runner."""
    return Run(agent, runner, watch, on_head, on_data).start(call, body, until_ms)
