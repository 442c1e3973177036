"""Streaming requests: responses are forwarded event by event and never mix the output of two executions."""

from msgspec import structs
from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import count, now_ms

from . import load_balancing, turn
from .attempts import attempts_for, may_offer, record_outcome
from .event_stream import EventParser
from .failures import Overloaded, TimedOut, Unavailable, Unknown
from .forwarding import retry_ms, slot_deadline_ms, write_answer
from .outcomes import Answer, ClientLeft, Late, NotRun, NotSent, Whole
from .runner_request import send_once
from .slot_overhead import observe_run, overhead_of

PROMISES = (402, 404)


class Stream:
    """A response being streamed to a client.

    passed: number of events forwarded. maybe: whether a runner may have executed the request. joined: whether the
    stream was resumed after events had been forwarded. spliced: whether a resumed stream did not continue the earlier
    events.
    """

    __slots__ = (
        "call",
        "sink",
        "watcher",
        "parser",
        "headed",
        "passed",
        "last_id",
        "data",
        "keeps",
        "maybe",
        "joined",
        "spliced",
    )

    def __init__(self, call, sink, watcher, keeps):
        self.call, self.sink, self.watcher, self.keeps = call, sink, watcher, keeps
        self.parser, self.headed, self.passed, self.last_id = EventParser(), False, 0, call.last_event
        self.data, self.maybe, self.joined, self.spliced = [], False, False, False

    def head(self, head):
        """Handle a response head; only the first one is forwarded to the client."""
        self.parser, self.maybe = EventParser(), True
        if not self.headed:
            self.headed = True
            self.sink.head(head.status, head.headers)

    def heard(self, data):
        """Forward complete events as long as they continue the previous ones."""
        events = self.parser.feed(data)
        if not events or self.spliced:
            return
        passed = []
        for event in events:
            if event.id is not None:
                if self.joined and not rises(self.last_id, event.id):
                    self.spliced = True
                    break
                self.last_id = event.id
            elif self.joined and event.data is not None:
                self.spliced = True
                break
            passed.append(event.raw)
            if event.data is not None:
                self.passed += 1
                if self.keeps:
                    self.data.append(event.data)
        if passed:
            self.sink.data(b"".join(passed))

    def rest(self):
        """Forward the bytes after the last complete event once the body has ended."""
        rest = self.parser.rest()
        if rest:
            self.passed += 1
            self.sink.data(rest)


def rises(last, name):
    """Return whether an event id follows the last one forwarded."""
    if last.isdigit() and name.isdigit():
        return int(name) > int(last)
    return last != name


@inlineCallbacks
def stream(agent, route, service, call, sink, until_ms, watcher):
    """Serve a request of a streaming route."""
    if until_ms - now_ms(agent) < max(1, route.aim_ms // 10):
        return sink.failed(Overloaded(retry_ms(route)))
    ordered, runner, body = turn.ordered(route, call), None, call.body
    if ordered:
        placed = yield turn.begin(agent, route, service, call, until_ms)
        if not isinstance(placed, turn.Placed):
            count(agent, type(placed).__name__)
            return None if watcher.disconnected else sink.failed(placed)
        runner, body = placed.runner, placed.body
    state = Stream(call, sink, watcher, route.retained)
    outcome = yield send_on(agent, route, service, state, ordered, runner, body, until_ms)
    yield finish(agent, route, service, state, ordered, outcome, until_ms)


@inlineCallbacks
def send_on(agent, route, service, state, ordered, runner, body, until_ms):
    """Send the request to runners in turn while that is allowed.

    Returns a Deferred of the last outcome, or of a failure if no runner executed the request.
    """
    attempts, call = attempts_for(route, route.resumable), state.call
    tried = attempts.picked
    slot_until_ms, outcome = slot_deadline_ms(agent, route, until_ms), None
    if ordered and runner is None:
        runner = yield next_runner(agent, route, service, state, ordered, tried, slot_until_ms, until_ms)
    while True:
        if runner is None and not ordered:
            runner = yield next_runner(agent, route, service, state, ordered, tried, slot_until_ms, until_ms)
        if not hasattr(runner, "id"):
            return outcome if state.maybe else runner
        if state.watcher.disconnected:
            return ClientLeft()
        tried.append(runner.id)
        sent_ms = now_ms(agent)
        outcome = yield send_once(agent, runner, call, body, until_ms, state.watcher, state.head, state.heard)
        if isinstance(outcome, Whole):
            observe_run(overhead_of(agent, service.name), now_ms(agent) - sent_ms)
        record_outcome(attempts, outcome)
        if isinstance(outcome, NotSent):
            if outcome.why in ("left", "late"):
                return ClientLeft() if outcome.why == "left" else Late() if state.maybe else outcome
            if outcome.why == "lease" and not state.maybe:
                return Unavailable(retry_ms(route), "lease")
        elif not isinstance(outcome, NotRun):
            state.maybe = True
            if not may_resume(route, state, outcome):
                return outcome
            state.joined = state.passed > 0
            call = structs.replace(state.call, last_event=state.last_id)
        if not may_offer(attempts) or until_ms - now_ms(agent) < max(1, route.aim_ms // 10):
            return outcome
        runner = yield next_runner(agent, route, service, state, ordered, tried, slot_until_ms, until_ms)


def may_resume(route, state, outcome):
    """Return whether an interrupted stream may be resumed at another runner."""
    if not route.resumable or state.spliced or isinstance(outcome, (Answer, Whole, Late, ClientLeft)):
        return False
    return state.passed == 0 or state.last_id not in ("", state.call.last_event)


@inlineCallbacks
def next_runner(agent, route, service, state, ordered, tried, slot_until_ms, until_ms):
    """Return a Deferred of the next runner, or of a failure if there is none.

    The ledger reassigns an attempt only while no runner may have executed it.
    """
    if ordered and not state.maybe:
        name = yield turn.move(agent, route, service, state.call, tried, until_ms)
        if not isinstance(name, str):
            return name
        return agent.runners.get(name) or Overloaded(retry_ms(route))
    if state.maybe:
        slot_until_ms = slot_deadline_ms(agent, route, until_ms)
    runner = yield load_balancing.wait_for_runner(agent, route, service, tried, state.call.attempt, slot_until_ms)
    return runner or Overloaded(retry_ms(route))


@inlineCallbacks
def finish(agent, route, service, state, ordered, outcome, until_ms):
    """End the attempt in the ledger and then the response at the client; a complete response waits for the ledger."""
    sink, call, tokens = state.sink, state.call, state.passed * service.event_tokens
    if isinstance(outcome, Whole) and not state.spliced:
        state.rest()
        tokens = state.passed * service.event_tokens
        lasts = True
        if ordered:
            data = b"".join([call.body, *(part + b"\n" for part in state.data)]) if state.keeps else b""
            lasts = yield turn.close(agent, route, service, call, tokens, data, until_ms)
        count(agent, "streams" if lasts else "streams_unkept")
        return sink.end() if lasts else sink.cut()
    if ordered and state.maybe:
        turn.broke_off(agent, call, tokens)
    elif ordered:
        turn.abort(agent, call)
    if state.watcher.disconnected or isinstance(outcome, ClientLeft):
        return count(agent, "client_left")
    if state.headed:
        count(agent, "streams_cut")
        return sink.cut()
    count(agent, type(outcome).__name__)
    if isinstance(outcome, Answer) and not (ordered and outcome.status in PROMISES):
        return write_answer(sink, outcome)
    if state.maybe:
        return sink.failed(TimedOut() if isinstance(outcome, Late) else Unknown(getattr(outcome, "why", "")))
    if isinstance(outcome, (NotSent, NotRun)):
        outcome = Overloaded(retry_ms(route))
    return sink.failed(outcome)
