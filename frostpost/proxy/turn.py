"""Ledger operations and body storage for one attempt at a streamed turn."""

from msgspec import Struct
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.operation_client import call_replicas, submit_until_decided
from frostpost.program_ledger.messages import (
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
from frostpost.turn_store.client import fetch, is_durable_at, put

from . import load_balancing
from .failures import BudgetSpent, Overloaded, Unavailable, UnknownTurn
from .forwarding import record_wait_ms, retry_ms, slot_deadline_ms
from .operation_retry import DECISION_RETRY_MS, call_until_decided
from .slot_overhead import observe_decision, overhead_of
from .wait_policy import leader_wait_ms

RETRY_INTERVAL_MS = 20
RETENTION_MARGIN_TICKS = 10


class Placed(Struct, frozen=True):
    """A runner and the complete body to send to it."""

    runner: object
    body: bytes


def needs_ledger(route, call):
    """Return whether the attempt has to be recorded in the ledger."""
    return bool(call.program) or call.budget is not None or route.retained


def is_budget_empty(call):
    """Return whether the request's budget allows no tokens at all.

    The ledger can't tell: a budget of 0 in its operations stands for none.
    """
    return call.budget is not None and call.budget <= 0


def delay(agent, wait_ms):
    """Return a Deferred that fires after wait_ms."""
    fired = Deferred()
    agent.reactor.callLater(wait_ms / 1000, fired.callback, None)
    return fired


@inlineCallbacks
def request_slot(agent, route, service, call, tried, operation, until_ms, waits_at_leader=False):
    """Submit an operation that needs a runner slot, again while no candidate has one.

    waits_at_leader: the leader queues the operation until a slot is free, so a NoCapacity is final. Returns a Deferred
    of the ledger's result, or of an Unavailable.
    """
    slot_until_ms = None
    while True:
        remaining_ms = until_ms - now_ms(agent)
        offered = load_balancing.candidates(agent, service, tried)
        result = NoCapacity(RETRY_INTERVAL_MS)
        if remaining_ms <= 0:
            return result
        if offered:
            result = yield call_until_decided(agent, operation(offered, remaining_ms), remaining_ms, call.delays)
        if isinstance(result, Unavailable):
            return Unavailable(DECISION_RETRY_MS, "order")
        if not isinstance(result, NoCapacity) or offered and waits_at_leader:
            return result
        # The slot wait starts at the first NoCapacity; waiting for the ledger's decision doesn't count.
        slot_until_ms = slot_deadline_ms(agent, route, until_ms) if slot_until_ms is None else slot_until_ms
        wait_ms = max(1, min(result.wait_ms, RETRY_INTERVAL_MS))
        if now_ms(agent) + wait_ms >= slot_until_ms:
            return result
        yield delay(agent, wait_ms)
        call.delays.slot_ms = call.delays.slot_ms + wait_ms


def deadline_in_ms(agent, call):
    """Return the time left to the deadline of the request's program, or of the request if it belongs to none."""
    total_ms = call.program_remaining_ms
    if total_ms is None:
        total_ms = call.deadline_ms - call.started_ms
    return total_ms - (now_ms(agent) - call.started_ms)


@inlineCallbacks
def begin_attempt(agent, route, service, call, until_ms):
    """Begin an attempt in the ledger and fetch the bodies of its preceding turns.

    Returns a Deferred of Placed or of a failure, after which the ledger holds no state of the attempt.
    """
    if is_budget_empty(call):
        return BudgetSpent()

    def operation(offered, remaining_ms):
        return BeginAttempt(
            attempt=call.ledger_attempt,
            program=call.ledger_program,
            budget=call.budget or 0,
            amount=call.max_output_tokens,
            previous=call.ledger_previous_turn,
            remaining_ms=remaining_ms,
            candidates=offered,
            parts=call.prompt_parts,
            line=call.session_id,
            prompt_tokens=call.prompt_tokens,
            cache_tokens=service.cache_tokens,
            pool=service.name,
            rank=route.rank,
            max_queue_ms=leader_wait_ms(remaining_ms),
            deadline_in_ms=deadline_in_ms(agent, call),
            credential=call.ledger_credential,
        )

    result = yield request_slot(agent, route, service, call, (), operation, until_ms, waits_at_leader=True)
    if isinstance(result, TokensSpent):
        return BudgetSpent()
    if isinstance(result, NoTurn):
        return UnknownTurn()
    if isinstance(result, NoCapacity):
        abort_attempt(agent, call)
        return Overloaded(retry_ms(route))
    if not isinstance(result, AttemptBegun):
        abort_attempt(agent, call)
        return result if isinstance(result, Unavailable) else Unavailable(retry_ms(route), "verdict")
    body = call.body
    if result.chain:
        fetched = yield fetch(agent, tuple(result.chain), max(1, until_ms - now_ms(agent)))
        if not fetched.is_ok() or len(fetched.ok) != len(result.chain):
            abort_attempt(agent, call)
            return Unavailable(retry_ms(route), "bodies")
        body = b"".join(fetched.ok) + call.body
    return Placed(agent.runners.get(result.runner), body)


@inlineCallbacks
def reassign_attempt(agent, route, service, call, tried, until_ms):
    """Reassign an attempt that was not executed to another runner.

    Returns a Deferred of the runner's id or of a failure, on which the caller aborts the attempt.
    """

    def operation(offered, _remaining_ms):
        return ReassignAttempt(call.ledger_attempt, offered, len(tried))

    result = yield request_slot(agent, route, service, call, tried, operation, until_ms)
    if isinstance(result, AttemptBegun) and result.runner not in tried:
        return result.runner
    return result if isinstance(result, Unavailable) else Overloaded(retry_ms(route))


def abort_attempt(agent, call):
    """Abort an attempt that no runner executed."""
    submit_until_decided(agent, AbortAttempt(call.ledger_attempt))


def end_interrupted(agent, call, tokens):
    """End an attempt without a complete response, after `tokens` output tokens."""
    submit_until_decided(agent, EndAttempt(call.ledger_attempt, tokens, retention_ms=0))


def measure_decision_time(agent, service, answer):
    """Measure how long the end of an attempt takes to be decided. Returns the same Deferred."""
    start_ms = now_ms(agent)

    def decided(result):
        if result.is_ok():
            observe_decision(overhead_of(agent, service.name), now_ms(agent) - start_ms)
        return result

    return answer.addCallback(decided)


def end_attempt(agent, route, service, call, tokens, data, until_ms):
    """End an attempt with a complete response.

    Returns True, or a Deferred of whether the turn is durable; only then may the client's response end. No turn can
    follow one that isn't retained, so its response doesn't wait for the ledger: until its end is decided, the attempt
    is charged with its maximum number of tokens.
    """
    if not route.retained:
        measure_decision_time(agent, service, submit_until_decided(agent, EndAttempt(call.ledger_attempt, tokens)))
        return True
    return end_retained_attempt(agent, route, service, call, tokens, data, until_ms)


@inlineCallbacks
def end_retained_attempt(agent, route, service, call, tokens, data, until_ms):
    """End a retained turn.

    Returns a Deferred of whether it is durable: its end is decided, and its body is stored by a majority of the voters
    of a running lease. The voters are checked last, since they may have been replaced while the end was being decided;
    the body is then stored again.
    """
    wait_ms = record_wait_ms(agent, until_ms)
    retention_ms = route.retention_ms + RETENTION_MARGIN_TICKS * agent.settings.tick_ms
    end_operation = EndAttempt(call.ledger_attempt, tokens, retention_ms=retention_ms, size=len(data))
    ended, stored = yield gatherResults(
        [
            measure_decision_time(agent, service, call_replicas(agent, end_operation, wait_ms)),
            put(agent, call.ledger_attempt, data, wait_ms),
        ]
    )
    durable = ended.is_ok() and stored.is_ok()
    if not (ended.is_ok() and isinstance(ended.ok, AttemptEnded)):
        durable = False
        submit_until_decided(agent, end_operation if stored.is_ok() else EndAttempt(call.ledger_attempt, tokens))
    if durable and not is_durable_at(agent, stored.ok.holders):
        stored_again = yield put(agent, call.ledger_attempt, data, record_wait_ms(agent, until_ms))
        durable = stored_again.is_ok()
    return durable
