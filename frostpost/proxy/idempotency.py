"""Idempotent requests: executed once per operation key; duplicates receive the recorded response."""

from msgspec import msgpack
from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.operation_client import call_replicas, submit_until_decided
from frostpost.program_ledger.key_messages import (
    ClaimOperationKey,
    KeyAnswered,
    KeyClaimed,
    KeyInProgress,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.program_ledger.messages import AttemptEnded

from .failures import AtWork, BadRequest, Unavailable, Unknown
from .forwarding import deliver, forward, record_wait_ms
from .operation_retry import DECISION_RETRY_MS, call_until_decided
from .outcomes import Answer

RELEASE_TIMEOUT_MS = 300
WINDOW_MARGIN_TICKS = 6


def serialize_answer(answer):
    """Serialize a response for the ledger."""
    return msgpack.encode((answer.status, answer.headers, answer.body))


def deserialize_answer(data):
    """Deserialize a response stored by `serialize_answer`."""
    return Answer(*msgpack.decode(data, type=tuple[int, list[tuple[bytes, bytes]], bytes]))


@inlineCallbacks
def serve_idempotent(agent, route, service, call, sink, until_ms, watcher):
    """Serve an idempotent request."""
    if not call.key:
        return deliver(agent, BadRequest("no key"), sink)
    key = call.ledger_key
    window_ms = agent.settings.key_window_ms + WINDOW_MARGIN_TICKS * agent.settings.tick_ms
    claim = ClaimOperationKey(key, call.ledger_attempt, window_ms, call.ledger_credential)
    claim_result = yield call_until_decided(agent, claim, max(1, until_ms - now_ms(agent)), call.delays)
    if isinstance(claim_result, KeyInProgress):
        return deliver(agent, AtWork(), sink)
    if isinstance(claim_result, KeyAnswered):
        return deliver(agent, deserialize_answer(claim_result.answer), sink)
    if not isinstance(claim_result, KeyClaimed):
        submit_until_decided(agent, ReleaseOperationKey(key, call.ledger_attempt, call.ledger_credential))
        return deliver(agent, Unavailable(DECISION_RETRY_MS, "claim"), sink)
    outcome = yield forward(agent, route, service, call, until_ms, service.dedupes, None)
    if isinstance(outcome, Answer):
        outcome = yield record_answer(agent, key, call, outcome, until_ms)
        return deliver(agent, outcome, sink)
    deliver(agent, outcome, sink)
    if outcome.not_executed:
        yield release_claim(agent, key, call)


@inlineCallbacks
def record_answer(agent, key, call, answer, until_ms):
    """Record a response in the ledger under this attempt's claim.

    Returns a Deferred of the response, or of Unknown if it was not recorded.
    """
    operation = ResolveOperationKey(key, call.ledger_attempt, serialize_answer(answer), call.ledger_credential)
    result = yield call_replicas(agent, operation, record_wait_ms(agent, until_ms))
    if result.is_ok():
        return answer if isinstance(result.ok, AttemptEnded) else Unknown("claim lost")
    submit_until_decided(agent, operation)
    return Unknown("not resolved")


@inlineCallbacks
def release_claim(agent, key, call):
    """Release the claim of a request that was not executed."""
    operation = ReleaseOperationKey(key, call.ledger_attempt, call.ledger_credential)
    result = yield call_replicas(agent, operation, RELEASE_TIMEOUT_MS)
    if not result.is_ok():
        submit_until_decided(agent, operation)
