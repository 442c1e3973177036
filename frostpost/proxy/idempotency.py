"""Idempotent requests: executed once per operation key; duplicates receive the recorded response."""

from msgspec import msgpack
from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.operation_client import call_replicas, submit_until_decided
from frostpost.program_ledger.messages import (
    AttemptEnded,
    ClaimOperationKey,
    KeyAnswered,
    KeyClaimed,
    KeyInProgress,
    ReleaseOperationKey,
    ResolveOperationKey,
)

from .failures import AtWork, BadRequest, Unavailable, Unknown
from .forwarding import hand_over, lasting_ms, settle
from .operation_retry import ORDER_RETRY_MS, call_until_decided
from .outcomes import Answer

DISCLAIM_MS = 300
WINDOW_TICKS = 6


def pack(whole):
    """Serialize a response for the ledger."""
    return msgpack.encode((whole.status, whole.headers, whole.body))


def unpack(data):
    """Deserialize a response stored by `pack`."""
    return Answer(*msgpack.decode(data, type=tuple[int, list[tuple[bytes, bytes]], bytes]))


@inlineCallbacks
def keyed(agent, route, service, call, sink, until_ms, watch):
    """Serve an idempotent request."""
    if not call.key:
        return hand_over(agent, BadRequest("no key"), sink)
    key = f"{call.host}|{call.key}"
    window_ms = agent.settings.key_window_ms + WINDOW_TICKS * agent.settings.tick_ms
    claim = ClaimOperationKey(key, call.attempt, window_ms)
    verdict = yield call_until_decided(agent, claim, max(1, until_ms - now_ms(agent)), call.delays)
    if isinstance(verdict, KeyInProgress):
        return hand_over(agent, AtWork(), sink)
    if isinstance(verdict, KeyAnswered):
        return hand_over(agent, unpack(verdict.answer), sink)
    if not isinstance(verdict, KeyClaimed):
        submit_until_decided(agent, ReleaseOperationKey(key, call.attempt))
        return hand_over(agent, Unavailable(ORDER_RETRY_MS, "claim"), sink)
    outcome = yield settle(agent, route, service, call, until_ms, service.dedupes, None)
    if isinstance(outcome, Answer):
        outcome = yield resolve(agent, key, call, outcome, until_ms)
        return hand_over(agent, outcome, sink)
    hand_over(agent, outcome, sink)
    if outcome.promised:
        yield disclaim(agent, key, call)


@inlineCallbacks
def resolve(agent, key, call, whole, until_ms):
    """Record a response in the ledger under this attempt's claim.

    Returns a Deferred of the response, or of Unknown if it was not recorded.
    """
    resolved = ResolveOperationKey(key, call.attempt, pack(whole))
    result = yield call_replicas(agent, resolved, lasting_ms(agent, until_ms))
    if result.is_ok():
        return whole if isinstance(result.ok, AttemptEnded) else Unknown("claim lost")
    submit_until_decided(agent, resolved)
    return Unknown("not resolved")


@inlineCallbacks
def disclaim(agent, key, call):
    """Release the claim of a request that was not executed."""
    operation = ReleaseOperationKey(key, call.attempt)
    result = yield call_replicas(agent, operation, DISCLAIM_MS)
    if not result.is_ok():
        submit_until_decided(agent, operation)
