"""Requests that bypass the ledger: safe ones may be retried, unsafe ones are executed at most once."""

from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import count, now_ms

from . import load_balancing
from .attempts import attempts_for, may_offer, record_outcome
from .failures import Overloaded, TimedOut, Unavailable, Unknown
from .outcomes import Answer, ClientLeft, Late, NotRun, NotSent
from .runner_request import send_once
from .wait_policy import slot_wait_until_ms

MIN_RECORD_WAIT_MS = 200


def retry_ms(route):
    """Return the retry delay suggested to a refused client."""
    return max(50, min(route.target_latency_ms // 4, 1000))


def slot_deadline_ms(agent, route, until_ms):
    """Return until when a request may wait for a runner slot."""
    return slot_wait_until_ms(now_ms(agent), until_ms, route.target_latency_ms)


def record_wait_ms(agent, until_ms):
    """Return how long to wait for the ledger to record a complete response.

    Little longer than the request's deadline, after which the client has gone.
    """
    return max(MIN_RECORD_WAIT_MS, until_ms - now_ms(agent))


@inlineCallbacks
def forward(agent, route, service, call, until_ms, repeatable, watcher):
    """Send a request to runners until one responds or no further send is allowed.

    Returns a Deferred of an Answer, ClientLeft or a failure; only a failure with `not_executed` guarantees that no
    runner executed the request.
    """
    attempts = attempts_for(route, repeatable)
    slot_until_ms, min_remaining_ms = slot_deadline_ms(agent, route, until_ms), route.target_latency_ms // 10
    uncertain, error_answer, reason = None, None, ""
    while may_offer(attempts):
        if until_ms - now_ms(agent) < max(1, min_remaining_ms):
            break
        runner = yield load_balancing.wait_for_runner(
            agent, route, service, attempts.picked, call.attempt, slot_until_ms
        )
        if runner is None:
            break
        if watcher is not None and watcher.disconnected:
            return ClientLeft()
        attempts.picked.append(runner.id)
        outcome = yield send_once(agent, runner, call, call.body, until_ms, watcher)
        record_outcome(attempts, outcome)
        if isinstance(outcome, NotSent):
            reason = outcome.why
            if reason == "left":
                return ClientLeft()
            if reason in ("lease", "late"):
                break
            continue
        if isinstance(outcome, NotRun):
            count(agent, "turned_away")
            continue
        if (
            isinstance(outcome, ClientLeft)
            or isinstance(outcome, Answer)
            and not (repeatable and outcome.status >= 500)
        ):
            return outcome
        if isinstance(outcome, Answer):
            error_answer = outcome
        uncertain = TimedOut() if isinstance(outcome, Late) else Unknown(getattr(outcome, "why", ""))
        if not repeatable or isinstance(outcome, Late):
            break
    if error_answer is not None:
        return error_answer
    if uncertain is not None:
        return uncertain
    if reason == "lease":
        return Unavailable(retry_ms(route), "lease")
    return Overloaded(retry_ms(route))


@inlineCallbacks
def serve_unordered(agent, route, service, call, sink, until_ms, watcher):
    """Serve a safe or an unsafe request."""
    outcome = yield forward(agent, route, service, call, until_ms, route.kind == "safe", watcher)
    deliver(agent, outcome, sink)


def deliver(agent, outcome, sink):
    """Send the outcome of a request to its client, unless the client has disconnected."""
    if isinstance(outcome, ClientLeft) or sink.is_disconnected():
        return count(agent, "client_left")
    if isinstance(outcome, Answer):
        return write_answer(sink, outcome)
    count(agent, type(outcome).__name__)
    sink.fail(outcome)


def write_answer(sink, response):
    """Write a complete response to the sink."""
    sink.head(response.status, response.headers)
    if response.body:
        sink.data(response.body)
    sink.end()
