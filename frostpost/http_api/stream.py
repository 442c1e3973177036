"""A turn's output on its way from a runner to the client: pieces, flow control, and the end that is settled first."""

from msgspec import DecodeError, json
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.event_loop import submit
from frostpost.ledger import programs
from frostpost.ledger.operations import Settle
from frostpost.ledger.results import Done
from frostpost.placement.ranking import history_digests

from . import errors, forward
from .calls import remaining_ms
from .selecting import health_of, record_failure


class Stream:
    """A turn's output on its way from a runner to the client; the last piece is held back until it is settled."""

    __slots__ = (
        "ctx",
        "call",
        "held",
        "reserved",
        "buffer",
        "next",
        "units",
        "handed",
        "texts",
        "ended",
        "attempt",
        "stop",
        "bad",
        "slow",
        "linked",
        "closed",
    )

    def __init__(self, ctx, call, reserved):
        self.ctx, self.call, self.reserved = ctx, call, reserved
        self.held, self.buffer, self.next, self.units, self.handed = None, b"", 1, 0, 0
        self.texts, self.ended, self.attempt, self.stop, self.bad = [], False, None, None, None
        self.slow, self.linked, self.closed = None, False, False

    def run(self):
        """Start the attempt; Deferred of the reason it ended, None if whole."""
        ctx, runner = self.ctx, self.reserved.runner
        self.attempt = forward.Attempt(runner, lambda: self.reserved.index in ctx.core.ledger.reservations)
        lines = self.reserved.lines
        if not all(programs.is_intact(line) for line in lines):
            self.bad = errors.Internal("kept history failed its checksum")
            return forward.NeverSent("history")
        health = health_of(ctx, runner.name)
        health.in_flight += 1
        ended, self.stop = forward.start(
            ctx,
            self.attempt,
            "/run",
            {
                "runner": runner.name,
                "instance": runner.instance,
                "kind": "turn",
                "request": self.call.id,
                "route": self.call.route_name,
                "tenant": self.call.tenant,
                "history": [[line.input, line.output] for line in lines],
                "chain": history_digests(lines),
                "input": self.call.document["input"],
                "max_output": self.reserved.amount,
                "config": dict(self.call.route.marks),
            },
            self.hear,
            max(1, remaining_ms(ctx, self.call)),
        )
        self.call.stop = lambda: self.stop(forward.Broken("caller gone"))

        def free(reason):
            health.in_flight -= 1
            return reason

        return ended.addBoth(free)

    def hear(self, data):
        """Split the runner's bytes into lines."""
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            if line and not self.ended and self.bad is None:
                self.line(line)
        if len(self.buffer) > self.ctx.settings.doors.line_bytes and self.bad is None:
            self.cut_short(errors.RunnerError(self.attempt.runner.name, "a line without end"))

    def pauseProducing(self):
        """Stop reading from the runner while the client does not read."""
        self.attempt.held = True
        self.slow = self.slow or self.ctx.reactor.callLater(
            self.ctx.settings.doors.stall_ms / 1000, self.cut_short, errors.TooSlow()
        )
        if self.attempt.timer.active():
            self.attempt.timer.reset(self.ctx.settings.doors.stall_ms * 2 / 1000)
        if self.attempt.protocol is not None and self.attempt.protocol.transport is not None:
            self.attempt.protocol.transport.pauseProducing()

    def resumeProducing(self):
        """Read from the runner again."""
        self.attempt.held = False
        self.calm()
        if self.attempt.protocol is not None and self.attempt.protocol.transport is not None:
            self.attempt.protocol.transport.resumeProducing()

    def stopProducing(self):
        """Cancel the timer for slow clients."""
        self.calm()

    def calm(self):
        """Cancel the timer for slow clients."""
        slow, self.slow = self.slow, None
        if slow is not None and slow.active():
            slow.cancel()

    def link(self, on):
        """Connect or disconnect the client's flow control."""
        if on != self.linked and not self.call.gone:
            self.linked = on
            if on:
                self.call.request.registerProducer(self, True)
            else:
                self.call.request.unregisterProducer()

    def line(self, raw):
        """Take one line of the runner: a piece or the end."""
        try:
            said = json.decode(raw)
            if said.get("end"):
                self.ended = True
                return
            number, text, units = said["n"], said["text"], said.get("units", 1)
        except (DecodeError, KeyError, AttributeError):
            return self.cut_short(errors.RunnerError(self.attempt.runner.name, "unreadable piece"))
        if number != self.next or not isinstance(text, str) or not isinstance(units, int) or units < 1:
            return self.cut_short(errors.RunnerError(self.attempt.runner.name, "piece out of order"))
        if len(text) > self.ctx.settings.doors.line_bytes:
            return self.cut_short(errors.RunnerError(self.attempt.runner.name, "a piece too long"))
        if self.units + units > self.reserved.amount:
            return self.cut_short(errors.OutputCut(self.reserved.amount))
        self.next += 1
        self.units += units
        if self.held is not None:
            self.emit(self.held)
        self.held = (number, text, units)
        self.texts.append(text)

    def cut_short(self, error):
        """End the attempt with an error."""
        self.bad = error
        self.stop(forward.Broken("bad stream"))

    def emit(self, piece):
        """Send a piece to the client."""
        number, text, units = piece
        if self.call.gone:
            return
        request = self.call.request
        if not self.call.emitted:
            request.setHeader("content-type", "application/x-ndjson")
            request.setHeader("x-request", self.call.id)
            if not self.closed:
                self.link(True)
        self.call.emitted += 1
        self.handed += units
        request.write(json.encode({"piece": number, "text": text, "units": units}) + b"\n")

    @inlineCallbacks
    def close(self, reason):
        """Settle the reservation, then send the last piece and the end line."""
        ctx, call = self.ctx, self.call
        self.closed = True
        self.link(False)
        self.calm()
        ask_ms = ctx.settings.doors.ask_ms * 2
        if reason is not None or not self.ended or self.held is None:
            submit(ctx, Settle(self.reserved.index, self.handed, None), ask_ms)
            if self.bad is None and not call.gone:
                record_failure(ctx, self.attempt.runner.name)
            return self.bad or errors.Unknown()
        health_of(ctx, self.attempt.runner.name).failures = 0
        line = programs.history_entry(call.document["input"], "".join(self.texts))
        result = yield submit(ctx, Settle(self.reserved.index, self.units, line), ask_ms)
        if result.is_error() or not isinstance(result.ok, Done):
            return errors.Unknown()
        self.emit(self.held)
        if not call.gone:
            call.request.write(
                json.encode(
                    {
                        "end": True,
                        "pieces": self.next - 1,
                        "units": self.units,
                        "runner": self.attempt.runner.name,
                        "request": call.id,
                    }
                )
                + b"\n"
            )
        return None
