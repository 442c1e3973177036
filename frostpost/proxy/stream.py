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

RESERVED_STATUSES = (402, 404)


class StreamRelay:
    """A response being streamed to a client.

    event_count: number of events forwarded. may_have_run: whether a runner may have executed the request. resumed:
    whether another runner continues the stream. diverged: whether its events did not continue the earlier ones.
    """

    __slots__ = (
        "call",
        "sink",
        "watcher",
        "parser",
        "head_sent",
        "event_count",
        "last_event_id",
        "data",
        "retains",
        "may_have_run",
        "resumed",
        "diverged",
    )

    def __init__(self, call, sink, watcher, retains):
        self.call, self.sink, self.watcher, self.retains = call, sink, watcher, retains
        self.parser, self.head_sent, self.event_count, self.last_event_id = EventParser(), False, 0, call.last_event_id
        self.data, self.may_have_run, self.resumed, self.diverged = [], False, False, False

    def head(self, head):
        """Handle a response head; only the first one is forwarded to the client."""
        self.parser, self.may_have_run = EventParser(), True
        if not self.head_sent:
            self.head_sent = True
            self.sink.head(head.status, head.headers)

    def on_data(self, data):
        """Forward complete events as long as they continue the previous ones."""
        events = self.parser.feed(data)
        if not events or self.diverged:
            return
        forwarded = []
        for event in events:
            if event.id is not None:
                if self.resumed and not follows(self.last_event_id, event.id):
                    self.diverged = True
                    break
                self.last_event_id = event.id
            elif self.resumed and event.data is not None:
                self.diverged = True
                break
            forwarded.append(event.raw)
            if event.data is not None:
                self.event_count += 1
                if self.retains:
                    self.data.append(event.data)
        if forwarded:
            self.sink.data(b"".join(forwarded))

    def forward_rest(self):
        """Forward the bytes after the last complete event once the body has ended."""
        rest = self.parser.pending_bytes()
        if rest:
            self.event_count += 1
            self.sink.data(rest)


def follows(last_id, event_id):
    """Return whether an event id follows the last one forwarded."""
    if last_id.isdigit() and event_id.isdigit():
        return int(event_id) > int(last_id)
    return last_id != event_id


@inlineCallbacks
def serve_stream(agent, route, service, call, sink, until_ms, watcher):
    """Serve a request of a streaming route."""
    if until_ms - now_ms(agent) < max(1, route.target_latency_ms // 10):
        return sink.fail(Overloaded(retry_ms(route)))
    ordered, runner, body = turn.needs_ledger(route, call), None, call.body
    if ordered:
        placed = yield turn.begin_attempt(agent, route, service, call, until_ms)
        if not isinstance(placed, turn.Placed):
            count(agent, type(placed).__name__)
            return None if watcher.disconnected else sink.fail(placed)
        runner, body = placed.runner, placed.body
    relay = StreamRelay(call, sink, watcher, route.retained)
    outcome = yield send_with_failover(agent, route, service, relay, ordered, runner, body, until_ms)
    yield finish_stream(agent, route, service, relay, ordered, outcome, until_ms)


@inlineCallbacks
def send_with_failover(agent, route, service, relay, ordered, runner, body, until_ms):
    """Send the request to runners in turn while that is allowed.

    Returns a Deferred of the last outcome, or of a failure if no runner executed the request.
    """
    attempts, call = attempts_for(route, route.resumable), relay.call
    tried = attempts.picked
    slot_until_ms, outcome = slot_deadline_ms(agent, route, until_ms), None
    if ordered and runner is None:
        runner = yield next_runner(agent, route, service, relay, ordered, tried, slot_until_ms, until_ms)
    while True:
        if runner is None and not ordered:
            runner = yield next_runner(agent, route, service, relay, ordered, tried, slot_until_ms, until_ms)
        if not hasattr(runner, "id"):
            return outcome if relay.may_have_run else runner
        if relay.watcher.disconnected:
            return ClientLeft()
        tried.append(runner.id)
        sent_ms = now_ms(agent)
        outcome = yield send_once(agent, runner, call, body, until_ms, relay.watcher, relay.head, relay.on_data)
        if isinstance(outcome, Whole):
            observe_run(overhead_of(agent, service.name), now_ms(agent) - sent_ms)
        record_outcome(attempts, outcome)
        if isinstance(outcome, NotSent):
            if outcome.why in ("left", "late"):
                return ClientLeft() if outcome.why == "left" else Late() if relay.may_have_run else outcome
            if outcome.why == "lease" and not relay.may_have_run:
                return Unavailable(retry_ms(route), "lease")
        elif not isinstance(outcome, NotRun):
            relay.may_have_run = True
            if not may_resume(route, relay, outcome):
                return outcome
            relay.resumed = relay.event_count > 0
            call = structs.replace(relay.call, last_event_id=relay.last_event_id)
        if not may_offer(attempts) or until_ms - now_ms(agent) < max(1, route.target_latency_ms // 10):
            return outcome
        runner = yield next_runner(agent, route, service, relay, ordered, tried, slot_until_ms, until_ms)


def may_resume(route, relay, outcome):
    """Return whether an interrupted stream may be resumed at another runner."""
    if not route.resumable or relay.diverged or isinstance(outcome, (Answer, Whole, Late, ClientLeft)):
        return False
    return relay.event_count == 0 or relay.last_event_id not in ("", relay.call.last_event_id)


@inlineCallbacks
def next_runner(agent, route, service, relay, ordered, tried, slot_until_ms, until_ms):
    """Return a Deferred of the next runner, or of a failure if there is none.

    The ledger reassigns an attempt only while no runner may have executed it.
    """
    if ordered and not relay.may_have_run:
        runner_id = yield turn.reassign_attempt(agent, route, service, relay.call, tried, until_ms)
        if not isinstance(runner_id, str):
            return runner_id
        return agent.runners.get(runner_id) or Overloaded(retry_ms(route))
    if relay.may_have_run:
        slot_until_ms = slot_deadline_ms(agent, route, until_ms)
    runner = yield load_balancing.wait_for_runner(agent, route, service, tried, relay.call.attempt, slot_until_ms)
    return runner or Overloaded(retry_ms(route))


@inlineCallbacks
def finish_stream(agent, route, service, relay, ordered, outcome, until_ms):
    """End the attempt in the ledger and then the response at the client; a complete response waits for the ledger."""
    sink, call, tokens = relay.sink, relay.call, relay.event_count * service.event_tokens
    if isinstance(outcome, Whole) and not relay.diverged:
        relay.forward_rest()
        tokens = relay.event_count * service.event_tokens
        durable = True
        if ordered:
            data = b"".join([call.body, *(payload + b"\n" for payload in relay.data)]) if relay.retains else b""
            durable = yield turn.end_attempt(agent, route, service, call, tokens, data, until_ms)
        count(agent, "streams" if durable else "streams_unkept")
        return sink.end() if durable else sink.abort()
    if ordered and relay.may_have_run:
        turn.end_interrupted(agent, call, tokens)
    elif ordered:
        turn.abort_attempt(agent, call)
    if relay.watcher.disconnected or isinstance(outcome, ClientLeft):
        return count(agent, "client_left")
    if relay.head_sent:
        count(agent, "streams_cut")
        return sink.abort()
    count(agent, type(outcome).__name__)
    if isinstance(outcome, Answer) and not (ordered and outcome.status in RESERVED_STATUSES):
        return write_answer(sink, outcome)
    if relay.may_have_run:
        return sink.fail(TimedOut() if isinstance(outcome, Late) else Unknown(getattr(outcome, "why", "")))
    if isinstance(outcome, (NotSent, NotRun)):
        outcome = Overloaded(retry_ms(route))
    return sink.fail(outcome)
