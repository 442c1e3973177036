"""Requests that bypass the ledger: safe ones may be retried, unsafe ones are executed at most once."""

from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import count, now_ms

from . import load_balancing
from .attempts import attempts_for, may_offer, record_outcome
from .failures import Overloaded, TimedOut, Unavailable, Unknown
from .outcomes import Answer, ClientLeft, Late, NotRun, NotSent
from .runner_request import run_once
from .wait_policy import slot_hold_until_ms

LEAST_LASTING_MS = 200


def retry_ms(route):
    """Return the retry delay suggested to a refused client."""
    return max(50, min(route.aim_ms // 4, 1000))


def hold_until_ms(agent, route, until_ms):
    """Return until when a request may wait for a runner slot."""
    return slot_hold_until_ms(now_ms(agent), until_ms, route.aim_ms)


def lasting_ms(agent, until_ms):
    """Return how long to wait for the ledger to record a complete response.

    Little longer than the request's deadline, after which the client has gone.
    """
    return max(LEAST_LASTING_MS, until_ms - now_ms(agent))


@inlineCallbacks
def settle(agent, route, service, call, until_ms, repeatable, watch):
    """Send a request to runners until one responds or no further send is allowed.

    Returns a Deferred of an Answer, ClientLeft or a failure; only a failure with `not_executed` guarantees that no
    runner executed the request.
    """
    attempts = attempts_for(route, repeatable)
    hold_ms, least_ms = hold_until_ms(agent, route, until_ms), route.aim_ms // 10
    maybe, whole, why = None, None, ""
    while may_offer(attempts):
        if until_ms - now_ms(agent) < max(1, least_ms):
            break
        runner = yield load_balancing.place(agent, route, service, attempts.picked, call.attempt, hold_ms)
        if runner is None:
            break
        if watch is not None and watch.left:
            return ClientLeft()
        attempts.picked.append(runner.id)
        outcome = yield run_once(agent, runner, call, call.body, until_ms, watch)
        record_outcome(attempts, outcome)
        if isinstance(outcome, NotSent):
            why = outcome.why
            if why == "left":
                return ClientLeft()
            if why in ("lease", "late"):
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
            whole = outcome
        maybe = TimedOut() if isinstance(outcome, Late) else Unknown(getattr(outcome, "why", ""))
        if not repeatable or isinstance(outcome, Late):
            break
    if whole is not None:
        return whole
    if maybe is not None:
        return maybe
    if why == "lease":
        return Unavailable(retry_ms(route), "lease")
    return Overloaded(retry_ms(route))


@inlineCallbacks
def lookup(agent, route, service, call, sink, until_ms, watch):
    """Serve a safe or an unsafe request."""
    outcome = yield settle(agent, route, service, call, until_ms, route.kind == "safe", watch)
    hand_over(agent, outcome, sink)


def hand_over(agent, outcome, sink):
    """Send the outcome of a request to its client, unless the client has disconnected."""
    if isinstance(outcome, ClientLeft) or sink.gone():
        return count(agent, "client_left")
    if isinstance(outcome, Answer):
        return answer(sink, outcome)
    count(agent, type(outcome).__name__)
    sink.failed(outcome)


def answer(sink, whole):
    """Write a complete response to the sink."""
    sink.head(whole.status, whole.headers)
    if whole.body:
        sink.data(whole.body)
    sink.end()
