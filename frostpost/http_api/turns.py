from msgspec import DecodeError, json
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.context import count
from frostpost.daemon.heart import ask
from frostpost.ledger import programs
from frostpost.ledger.words import (
    Done,
    Release,
    Reserve,
    Reserved,
    Settle,
)
from frostpost.placement.judge import chain_of

from . import carry, faults
from .calls import remaining_ms
from .carry import unsent
from .selecting import faulted, meaning, select, status_of

CANDIDATES = 6


@inlineCallbacks
def turn(ctx, call):
    key, tried = f"{call.tenant}/{call.document['program']}", set()
    amount = min(call.document.get("max_output", call.lane.max_output), call.lane.max_output)
    while True:
        if remaining_ms(ctx, call) <= 0:
            return faults.LimitPassed()
        held = ctx.core.ledger.programs.get(key)
        chain = chain_of(held.lines) if held else ()
        ranked = select(ctx, call, chain, tried)
        if not ranked or call.gone:
            return faults.RunnersFull()
        result = yield ask(
            ctx,
            Reserve(
                key,
                amount,
                call.lane.budget,
                call.lane.keep_ms,
                call.lane.pools,
                tuple((r.name, r.instance) for r in ranked[:CANDIDATES]),
                call.lane.marks,
                max(call.lane.budget_keep_ms, call.lane.keep_ms),
            ),
            min(ctx.settings.doors.ask_ms, remaining_ms(ctx, call)),
        )
        if result.is_error():
            return result.error
        if not isinstance(result.ok, Reserved):
            return meaning(result.ok)
        stream = Stream(ctx, call, result.ok)
        try:
            reason = yield stream.run()
        except Exception:
            ask(ctx, Settle(result.ok.index, result.ok.amount, None), ctx.settings.doors.ask_ms)
            raise
        if not unsent(reason):
            return (yield stream.close(reason))
        count(ctx, "goes_turned_away")
        ask(ctx, Release(result.ok.index), ctx.settings.doors.ask_ms)
        if not carry.ours(reason):
            faulted(ctx, result.ok.runner.name)
        tried.add(result.ok.runner.name)


class Stream:
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
        "go",
        "stop",
        "bad",
        "slow",
        "linked",
        "closed",
    )

    def __init__(self, ctx, call, reserved):
        self.ctx, self.call, self.reserved = ctx, call, reserved
        self.held, self.buffer, self.next, self.units, self.handed = None, b"", 1, 0, 0
        self.texts, self.ended, self.go, self.stop, self.bad = [], False, None, None, None
        self.slow, self.linked, self.closed = None, False, False

    def run(self):
        ctx, runner = self.ctx, self.reserved.runner
        self.go = carry.Go(runner, lambda: self.reserved.index in ctx.core.ledger.reservations)
        lines = self.reserved.lines
        if not all(programs.whole(line) for line in lines):
            self.bad = faults.Internal("kept history failed its checksum")
            return carry.NeverSent("history")
        status = status_of(ctx, runner.name)
        status.in_flight += 1
        ended, self.stop = carry.start(
            ctx,
            self.go,
            "/run",
            {
                "runner": runner.name,
                "instance": runner.instance,
                "kind": "turn",
                "request": self.call.id,
                "lane": self.call.lane_name,
                "tenant": self.call.tenant,
                "history": [[line.input, line.output] for line in lines],
                "chain": chain_of(lines),
                "input": self.call.document["input"],
                "max_output": self.reserved.amount,
                "config": dict(self.call.lane.marks),
            },
            self.hear,
            max(1, remaining_ms(ctx, self.call)),
        )
        self.call.stop = lambda: self.stop(carry.Broken("caller gone"))

        def free(reason):
            status.in_flight -= 1
            return reason

        return ended.addBoth(free)

    def hear(self, data):
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            if line and not self.ended and self.bad is None:
                self.line(line)
        if len(self.buffer) > self.ctx.settings.doors.line_bytes and self.bad is None:
            self.cut_short(faults.RunnerFault(self.go.runner.name, "a line without end"))

    def pauseProducing(self):
        self.go.held = True
        self.slow = self.slow or self.ctx.reactor.callLater(
            self.ctx.settings.doors.stall_ms / 1000, self.cut_short, faults.TooSlow()
        )
        if self.go.timer.active():
            self.go.timer.reset(self.ctx.settings.doors.stall_ms * 2 / 1000)
        if self.go.protocol is not None and self.go.protocol.transport is not None:
            self.go.protocol.transport.pauseProducing()

    def resumeProducing(self):
        self.go.held = False
        self.calm()
        if self.go.protocol is not None and self.go.protocol.transport is not None:
            self.go.protocol.transport.resumeProducing()

    def stopProducing(self):
        self.calm()

    def calm(self):
        slow, self.slow = self.slow, None
        if slow is not None and slow.active():
            slow.cancel()

    def link(self, on):
        if on != self.linked and not self.call.gone:
            self.linked = on
            if on:
                self.call.request.registerProducer(self, True)
            else:
                self.call.request.unregisterProducer()

    def line(self, raw):
        try:
            said = json.decode(raw)
            if said.get("end"):
                self.ended = True
                return
            number, text, units = said["n"], said["text"], said.get("units", 1)
        except (DecodeError, KeyError, AttributeError):
            return self.cut_short(faults.RunnerFault(self.go.runner.name, "unreadable piece"))
        if number != self.next or not isinstance(text, str) or not isinstance(units, int) or units < 1:
            return self.cut_short(faults.RunnerFault(self.go.runner.name, "piece out of order"))
        if len(text) > self.ctx.settings.doors.line_bytes:
            return self.cut_short(faults.RunnerFault(self.go.runner.name, "a piece too long"))
        if self.units + units > self.reserved.amount:
            return self.cut_short(faults.OutputCut(self.reserved.amount))
        self.next += 1
        self.units += units
        if self.held is not None:
            self.emit(self.held)
        self.held = (number, text, units)
        self.texts.append(text)

    def cut_short(self, fault):
        self.bad = fault
        self.stop(carry.Broken("bad stream"))

    def emit(self, piece):
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
        ctx, call = self.ctx, self.call
        self.closed = True
        self.link(False)
        self.calm()
        ask_ms = ctx.settings.doors.ask_ms * 2
        if reason is not None or not self.ended or self.held is None:
            ask(ctx, Settle(self.reserved.index, self.handed, None), ask_ms)
            if self.bad is None and not call.gone:
                faulted(ctx, self.go.runner.name)
            return self.bad or faults.Unknown()
        status_of(ctx, self.go.runner.name).faults = 0
        line = programs.line(call.document["input"], "".join(self.texts))
        result = yield ask(ctx, Settle(self.reserved.index, self.units, line), ask_ms)
        if result.is_error() or not isinstance(result.ok, Done):
            return faults.Unknown()
        self.emit(self.held)
        if not call.gone:
            call.request.write(
                json.encode(
                    {
                        "end": True,
                        "pieces": self.next - 1,
                        "units": self.units,
                        "runner": self.go.runner.name,
                        "request": call.id,
                    }
                )
                + b"\n"
            )
        return None
