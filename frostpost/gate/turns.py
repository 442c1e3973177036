from msgspec import DecodeError, json
from twisted.internet.defer import inlineCallbacks

from frostpost.granary import programs
from frostpost.granary.words import (
    BudgetSpent, Done, NoRunner, Release, Reserve, Reserved, Settle, StaleConfig, TurnOpen,
)
from frostpost.harvest.judge import Question, Status, chainOf, rank
from frostpost.orchard.context import count, nowMs
from frostpost.orchard.heart import ask
from . import carry, faults
from .calls import leftMs

CANDIDATES = 6


def statusOf(ctx, name):
    return ctx.statuses.setdefault(name, Status())


def faulted(ctx, name):
    status = statusOf(ctx, name)
    status.faultMs, status.faults = nowMs(), status.faults + 1


def select(ctx, call, chain, tried):
    question = Question(
        call.lane.pools, ctx.settings.cell, chain, call.id, nowMs(), frozenset(tried))
    runners = ctx.core.granary.runners.values()
    return rank(question, runners, ctx.statuses, ctx.settings.weights)


def meaning(verdict):
    match verdict:
        case NoRunner():
            return faults.RunnersFull()
        case BudgetSpent(budget, spent):
            return faults.BudgetGone(budget, spent)
        case TurnOpen():
            return faults.TurnRunning()
        case StaleConfig():
            return faults.ConfigChanging()
        case _:
            return faults.Internal()


@inlineCallbacks
def turn(ctx, call):
    key, tried = f"{call.tenant}/{call.document['program']}", set()
    amount = min(call.document.get("maxOutput", call.lane.maxOutput), call.lane.maxOutput)
    while True:
        if leftMs(call) <= 0:
            return faults.LimitPassed()
        held = ctx.core.granary.programs.get(key)
        chain = chainOf(held.lines) if held else ()
        ranked = select(ctx, call, chain, tried)
        if not ranked or call.gone:
            return faults.RunnersFull()
        result = yield ask(ctx, Reserve(
            key, amount, call.lane.budget, call.lane.keepMs, call.lane.pools,
            tuple((r.name, r.instance) for r in ranked[:CANDIDATES]), call.lane.marks,
        ), min(ctx.settings.doors.askMs, leftMs(call)))
        if result.is_error():
            return result.error
        if not isinstance(result.ok, Reserved):
            return meaning(result.ok)
        stream = Stream(ctx, call, result.ok)
        reason = yield stream.run()
        if not isinstance(reason, (carry.NeverSent, carry.TurnedAway)):
            return (yield stream.close(reason))
        count(ctx, "goesTurnedAway")
        ask(ctx, Release(result.ok.index), ctx.settings.doors.askMs)
        faulted(ctx, result.ok.runner.name)
        tried.add(result.ok.runner.name)


class Stream:
    __slots__ = ("ctx", "call", "held", "reserved", "buffer", "next", "units", "handed", "texts",
                 "ended", "go", "stop", "bad")

    def __init__(self, ctx, call, reserved):
        self.ctx, self.call, self.reserved = ctx, call, reserved
        self.held, self.buffer, self.next, self.units, self.handed = None, b"", 1, 0, 0
        self.texts, self.ended, self.go, self.stop, self.bad = [], False, None, None, None

    def run(self):
        ctx, runner = self.ctx, self.reserved.runner
        self.go = carry.Go(runner, lambda: self.reserved.index in ctx.core.granary.reservations)
        lines = self.reserved.lines
        if not all(programs.whole(line) for line in lines):
            self.bad = faults.Internal("kept history failed its checksum")
            return carry.NeverSent("history")
        status = statusOf(ctx, runner.name)
        status.inFlight += 1
        ended, self.stop = carry.start(ctx, self.go, "/run", {
            "runner": runner.name, "instance": runner.instance, "kind": "turn",
            "request": self.call.id, "lane": self.call.laneName, "tenant": self.call.tenant,
            "history": [[line.input, line.output] for line in lines],
            "chain": chainOf(lines), "input": self.call.document["input"],
            "maxOutput": self.reserved.amount,
        }, self.hear, max(1, leftMs(self.call)))
        self.call.stop = lambda: self.stop(carry.Broken("caller gone"))

        def free(reason):
            status.inFlight -= 1
            return reason
        return ended.addBoth(free)

    def hear(self, data):
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            if line and not self.ended:
                self.line(line)

    def line(self, raw):
        try:
            said = json.decode(raw)
            if said.get("end"):
                self.ended = True
                return
            number, text, units = said["n"], said["text"], said.get("units", 1)
        except (DecodeError, KeyError, AttributeError):
            return self.refuse(faults.RunnerFault(self.go.runner.name, "unreadable piece"))
        if number != self.next or not isinstance(text, str) or not isinstance(units, int) or units < 1:
            return self.refuse(faults.RunnerFault(self.go.runner.name, "piece out of order"))
        if self.units + units > self.reserved.amount:
            return self.refuse(faults.OutputCut(self.reserved.amount))
        self.next += 1
        self.units += units
        if self.held is not None:
            self.emit(self.held)
        self.held = (number, text, units)
        self.texts.append(text)

    def refuse(self, fault):
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
        self.call.emitted += 1
        self.handed += units
        request.write(json.encode({"piece": number, "text": text, "units": units}) + b"\n")

    @inlineCallbacks
    def close(self, reason):
        ctx, call = self.ctx, self.call
        askMs = ctx.settings.doors.askMs * 2
        if reason is not None or not self.ended or self.held is None:
            ask(ctx, Settle(self.reserved.index, self.handed, None), askMs)
            if self.bad is None and not call.gone:
                faulted(ctx, self.go.runner.name)
            return self.bad or faults.Unknown()
        statusOf(ctx, self.go.runner.name).faults = 0
        line = programs.line(call.document["input"], "".join(self.texts))
        result = yield ask(ctx, Settle(self.reserved.index, self.units, line), askMs)
        if result.is_error() or not isinstance(result.ok, Done):
            return faults.Unknown()
        self.emit(self.held)
        if not call.gone:
            call.request.write(json.encode({
                "end": True, "pieces": self.next - 1, "units": self.units,
                "runner": self.go.runner.name, "request": call.id}) + b"\n")
        return None
