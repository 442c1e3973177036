"""Streaming of a turn's output from a runner to the client: parsing, flow control and settlement."""

from msgspec import DecodeError, json
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.event_loop import submit
from frostpost.ledger import programs
from frostpost.ledger.operations import Settle
from frostpost.ledger.results import Done
from frostpost.placement.ranking import history_digests

from . import errors, forward
from .calls import remaining_ms
from .runner_selection import health_of, record_failure


class Stream:
    """Streams a turn's output from a runner to the client.

    The last piece is withheld until the reservation is settled, so that a client never receives a complete output that
    the ledger has not recorded.
    """

    __slots__ = (
        "ctx",
        "call",
        "pending_piece",
        "reservation",
        "buffer",
        "next_number",
        "units_received",
        "units_sent",
        "texts",
        "saw_end",
        "attempt",
        "stop_attempt",
        "stream_error",
        "slow_client_timer",
        "flow_control_on",
        "is_closing",
    )

    def __init__(self, ctx, call, reservation):
        self.ctx, self.call, self.reservation = ctx, call, reservation
        self.pending_piece, self.buffer, self.next_number, self.units_received, self.units_sent = None, b"", 1, 0, 0
        self.texts, self.saw_end, self.attempt, self.stop_attempt, self.stream_error = [], False, None, None, None
        self.slow_client_timer, self.flow_control_on, self.is_closing = None, False, False

    def run(self):
        """Start the attempt; returns a Deferred of the reason for its end, None after a complete response."""
        ctx, runner = self.ctx, self.reservation.runner
        self.attempt = forward.Attempt(runner, lambda: self.reservation.index in ctx.core.ledger.reservations)
        lines = self.reservation.lines
        if not all(programs.is_intact(line) for line in lines):
            self.stream_error = errors.Internal("kept history failed its checksum")
            return forward.NeverSent("history")
        health = health_of(ctx, runner.name)
        health.in_flight += 1
        ended, self.stop_attempt = forward.start_attempt(
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
                "max_output": self.reservation.amount,
                "config": dict(self.call.route.marks),
            },
            self.on_data,
            max(1, remaining_ms(ctx, self.call)),
        )
        self.call.cancel = lambda: self.stop_attempt(forward.Broken("caller gone"))

        def on_attempt_end(reason):
            health.in_flight -= 1
            return reason

        return ended.addBoth(on_attempt_end)

    def on_data(self, data):
        """Split the runner's output into lines and process the complete ones."""
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            if line and not self.saw_end and self.stream_error is None:
                self.on_line(line)
        if len(self.buffer) > self.ctx.settings.doors.line_bytes and self.stream_error is None:
            self.fail(errors.RunnerError(self.attempt.runner.name, "a line without end"))

    def pauseProducing(self):
        """Pause the runner's response while the client's send buffer is full.

        The attempt fails with TooSlow if the client does not read for `stall_ms`. The stall timer of the attempt is set
        to twice that, so that a slow client isn't taken for a stalled runner.
        """
        self.attempt.is_paused = True
        self.slow_client_timer = self.slow_client_timer or self.ctx.reactor.callLater(
            self.ctx.settings.doors.stall_ms / 1000, self.fail, errors.TooSlow()
        )
        if self.attempt.stall_timer.active():
            self.attempt.stall_timer.reset(self.ctx.settings.doors.stall_ms * 2 / 1000)
        if self.attempt.protocol is not None and self.attempt.protocol.transport is not None:
            self.attempt.protocol.transport.pauseProducing()

    def resumeProducing(self):
        """Resume the runner's response."""
        self.attempt.is_paused = False
        self.cancel_slow_client_timer()
        if self.attempt.protocol is not None and self.attempt.protocol.transport is not None:
            self.attempt.protocol.transport.resumeProducing()

    def stopProducing(self):
        """Cancel the timer for slow clients."""
        self.cancel_slow_client_timer()

    def cancel_slow_client_timer(self):
        """Cancel the timer for slow clients."""
        slow_client_timer, self.slow_client_timer = self.slow_client_timer, None
        if slow_client_timer is not None and slow_client_timer.active():
            slow_client_timer.cancel()

    def set_flow_control(self, enabled):
        """Register or unregister this stream as the producer of the client's request."""
        if enabled != self.flow_control_on and not self.call.client_gone:
            self.flow_control_on = enabled
            if enabled:
                self.call.request.registerProducer(self, True)
            else:
                self.call.request.unregisterProducer()

    def on_line(self, raw):
        """Process one line of output: a piece or the end marker. Sends the piece before it."""
        try:
            message = json.decode(raw)
            if message.get("end"):
                self.saw_end = True
                return
            number, text, units = message["n"], message["text"], message.get("units", 1)
        except (DecodeError, KeyError, AttributeError):
            return self.fail(errors.RunnerError(self.attempt.runner.name, "unreadable piece"))
        if number != self.next_number or not isinstance(text, str) or not isinstance(units, int) or units < 1:
            return self.fail(errors.RunnerError(self.attempt.runner.name, "piece out of order"))
        if len(text) > self.ctx.settings.doors.line_bytes:
            return self.fail(errors.RunnerError(self.attempt.runner.name, "a piece too long"))
        if self.units_received + units > self.reservation.amount:
            return self.fail(errors.OutputCut(self.reservation.amount))
        self.next_number += 1
        self.units_received += units
        if self.pending_piece is not None:
            self.send_piece(self.pending_piece)
        self.pending_piece = (number, text, units)
        self.texts.append(text)

    def fail(self, error):
        """Stop the attempt and record the error to return."""
        self.stream_error = error
        self.stop_attempt(forward.Broken("bad stream"))

    def send_piece(self, piece):
        """Send a piece to the client."""
        number, text, units = piece
        if self.call.client_gone:
            return
        request = self.call.request
        if not self.call.pieces_sent:
            request.setHeader("content-type", "application/x-ndjson")
            request.setHeader("x-request", self.call.id)
            if not self.is_closing:
                self.set_flow_control(True)
        self.call.pieces_sent += 1
        self.units_sent += units
        request.write(json.encode({"piece": number, "text": text, "units": units}) + b"\n")

    @inlineCallbacks
    def close(self, reason):
        """Settle the reservation, then send the last piece and the end line; returns an error or None.

        An incomplete output is settled with the units already sent and adds nothing to the history.
        """
        ctx, call = self.ctx, self.call
        self.is_closing = True
        self.set_flow_control(False)
        self.cancel_slow_client_timer()
        submit_timeout_ms = ctx.settings.doors.ask_ms * 2
        if reason is not None or not self.saw_end or self.pending_piece is None:
            submit(ctx, Settle(self.reservation.index, self.units_sent, None), submit_timeout_ms)
            if self.stream_error is None and not call.client_gone:
                record_failure(ctx, self.attempt.runner.name)
            return self.stream_error or errors.Unknown()
        health_of(ctx, self.attempt.runner.name).failures = 0
        line = programs.history_entry(call.document["input"], "".join(self.texts))
        result = yield submit(ctx, Settle(self.reservation.index, self.units_received, line), submit_timeout_ms)
        if result.is_error() or not isinstance(result.ok, Done):
            return errors.Unknown()
        self.send_piece(self.pending_piece)
        if not call.client_gone:
            call.request.write(
                json.encode(
                    {
                        "end": True,
                        "pieces": self.next_number - 1,
                        "units": self.units_received,
                        "runner": self.attempt.runner.name,
                        "request": call.id,
                    }
                )
                + b"\n"
            )
        return None
