"""What the ledger is asked and told about one attempt at a stream, and the bodies that belong to it."""

from msgspec import Struct
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.operation_client import call_replicas, submit_until_decided
from frostpost.program_ledger.words import (
    AbortAttempt,
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    EndAttempt,
    NoCapacity,
    NoTurn,
    ReassignAttempt,
    TokensSpent,
)
from frostpost.turn_store.client import fetch, put
from frostpost.turn_store.client import is_durable_at as bodies_last

from . import picking
from .failures import BudgetSpent, Overloaded, Unavailable, UnknownTurn
from .lookup import hold_until_ms, lasting_ms, retry_ms

LEAST_ASK_MS = 200
PAUSE_MS = 20
KEEP_TICKS = 10


class Placed(Struct, frozen=True):
    """A runner, and the whole body that it is to get."""

    runner: object
    body: bytes


def ordered(route, call):
    """Whether the ledger has to know of the attempt."""
    return bool(call.program) or call.budget > 0 or route.retained


def pause(agent, wait_ms):
    """A Deferred that fires after a time."""
    woken = Deferred()
    agent.reactor.callLater(wait_ms / 1000, woken.callback, None)
    return woken


@inlineCallbacks
def decide(agent, route, service, tried, operation, until_ms):
    """The verdict, asked for again while no candidate has room; an Unavailable when there is none."""
    hold_ms = hold_until_ms(agent, route, until_ms)
    while True:
        left_ms = until_ms - now_ms(agent)
        offered = picking.candidates(agent, service, tried)
        verdict = NoCapacity(PAUSE_MS)
        if left_ms <= 0:
            return verdict
        if offered:
            wait_ms = max(1, min(left_ms, max(LEAST_ASK_MS, route.aim_ms // 4)))
            result = yield call_replicas(agent, operation(offered, left_ms), wait_ms)
            if not result.is_ok():
                return Unavailable(retry_ms(route), "order")
            verdict = result.ok
        if not isinstance(verdict, NoCapacity):
            return verdict
        wait_ms = max(1, min(verdict.wait_ms, PAUSE_MS))
        if now_ms(agent) + wait_ms >= hold_ms:
            return verdict
        yield pause(agent, wait_ms)


@inlineCallbacks
def begin(agent, route, service, call, until_ms):
    """Placed, or a failure; after a failure the ledger holds nothing of the attempt."""

    def operation(offered, left_ms):
        return BeginAttempt(
            attempt=call.attempt,
            program=call.program or call.attempt,
            budget=call.budget,
            amount=call.most_tokens,
            previous=call.previous,
            left_ms=left_ms,
            candidates=offered,
            parts=call.parts,
            line=call.line,
            prompt_tokens=call.prompt_tokens,
        )

    verdict = yield decide(agent, route, service, (), operation, until_ms)
    if isinstance(verdict, TokensSpent):
        return BudgetSpent()
    if isinstance(verdict, NoTurn):
        return UnknownTurn()
    if isinstance(verdict, NoCapacity):
        abort(agent, call)
        return Overloaded(retry_ms(route))
    if not isinstance(verdict, AttemptBegun):
        abort(agent, call)
        return verdict if isinstance(verdict, Unavailable) else Unavailable(retry_ms(route), "verdict")
    body = call.body
    if verdict.chain:
        fetched = yield fetch(agent, tuple(verdict.chain), max(1, until_ms - now_ms(agent)))
        if not fetched.is_ok() or len(fetched.ok) != len(verdict.chain):
            abort(agent, call)
            return Unavailable(retry_ms(route), "bodies")
        body = b"".join(fetched.ok) + call.body
    return Placed(agent.runners.get(verdict.runner), body)


@inlineCallbacks
def move(agent, route, service, call, tried, until_ms):
    """The id of another runner for an attempt that surely wasn't run, or a failure; the caller aborts it then."""

    def operation(offered, _left_ms):
        return ReassignAttempt(call.attempt, offered, len(tried))

    verdict = yield decide(agent, route, service, tried, operation, until_ms)
    if isinstance(verdict, AttemptBegun) and verdict.runner not in tried:
        return verdict.runner
    return verdict if isinstance(verdict, Unavailable) else Overloaded(retry_ms(route))


def abort(agent, call):
    """Tell the ledger that no runner ran the attempt."""
    submit_until_decided(agent, AbortAttempt(call.attempt))


def broke_off(agent, call, tokens):
    """It ended without a whole answer, having put out these tokens."""
    submit_until_decided(agent, EndAttempt(call.attempt, tokens, keep_ms=0))


@inlineCallbacks
def close(agent, route, call, tokens, data, until_ms):
    """True once the turn lasts: its end decided, and its body on disks of a majority of the voters of a running lease.

    The voters are looked at last: a body that was put while the end was being decided may have been put on voters that
    others took the place of meanwhile.
    """
    wait_ms = lasting_ms(agent, until_ms)
    keep_ms = route.keep_ms + KEEP_TICKS * agent.settings.tick_ms if route.retained else 0
    end = EndAttempt(call.attempt, tokens, keep_ms=keep_ms, size=len(data) if keep_ms else 0)
    asked = [call_replicas(agent, end, wait_ms)]
    if keep_ms:
        asked.append(put(agent, call.attempt, data, wait_ms))
    results = yield gatherResults(asked)
    lasts = all(result.is_ok() for result in results)
    if not (results[0].is_ok() and isinstance(results[0].ok, AttemptEnded)):
        lasts = False
        submit_until_decided(agent, end if not keep_ms or results[1].is_ok() else EndAttempt(call.attempt, tokens))
    if lasts and keep_ms and not bodies_last(agent, results[1].ok.holders):
        again = yield put(agent, call.attempt, data, lasting_ms(agent, until_ms))
        lasts = again.is_ok()
    return lasts
