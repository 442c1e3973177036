"""Operations that control calls submit to the replicas.

Each call submits an operation and returns its result once it is delivered as safe, which takes an acknowledgement by a
majority of the voters made after the call. Nothing is answered from this daemon's own copy of the state.
"""

from expression import Error, Ok
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.program_ledger.messages import (
    ReadRetirement,
    ReadRouting,
    RetireReplica,
    RoutingConflict,
    RoutingForgotten,
    RoutingSet,
    RoutingState,
    SetRouting,
)
from frostpost.proxy.failures import Unavailable

from .agent_context import now_ms
from .lease_client import send_lease_requests, session_of
from .operation_client import RETRY_MS, call_replicas_unleased

POLL_INTERVAL_MS = 20
RETENTION_RATIO = 150


def sleep(agent, wait_ms):
    """Returns a Deferred that fires after that time."""
    deferred = Deferred()
    agent.reactor.callLater(wait_ms / 1000, deferred.callback, None)
    return deferred


@inlineCallbacks
def set_routing(agent, base, version, body, digest, adopted, wait_ms):
    """Replace the routing `base`. Returns Result[version, RoutingConflict | RoutingForgotten | Unavailable].

    digest: identifies this change among others of the same version; resubmitting an accepted change returns Ok again.
    adopted: the AdoptedCredentials of the change.
    Ok comes once every daemon with a running lease honours this version or a later one. After Unavailable the change
    may still be accepted.
    """
    until_ms = now_ms(agent) + wait_ms
    change = SetRouting(base, version, body, digest, agent.settings.ack_ms * RETENTION_RATIO, adopted)
    result = yield call_replicas_unleased(agent, change, wait_ms)
    if result.is_error():
        return result
    if not isinstance(result.ok, RoutingSet):
        was_rejected = isinstance(result.ok, (RoutingConflict, RoutingForgotten))
        return Error(result.ok if was_rejected else Unavailable(RETRY_MS, "verdict"))
    result = yield wait_until_honoured(agent, version, until_ms - now_ms(agent))
    return result


@inlineCallbacks
def wait_until_honoured(agent, version, wait_ms):
    """Wait until every daemon with a running lease honours an accepted version.

    Returns Result[version, Unavailable].
    """
    until_ms = now_ms(agent) + wait_ms
    while session_of(agent).honoured_version < version:
        if now_ms(agent) >= until_ms:
            return Error(Unavailable(RETRY_MS, "not honoured everywhere yet"))
        send_lease_requests(agent)
        yield sleep(agent, POLL_INTERVAL_MS)
    return Ok(version)


@inlineCallbacks
def submit_expecting(agent, op, result_type, wait_ms):
    """Submit an operation; a result of another type than `result_type`, if given, becomes Unavailable."""
    result = yield call_replicas_unleased(agent, op, wait_ms)
    if result.is_ok() and result_type is not None and not isinstance(result.ok, result_type):
        return Error(Unavailable(RETRY_MS, "verdict"))
    return result


def read_routing(agent, wait_ms, version=0, digest=b""):
    """Read the routing, and whether a change was accepted, as ordered after this call.

    Returns Deferred[Result[RoutingState, Unavailable]].
    """
    return submit_expecting(agent, ReadRouting(version, digest), RoutingState, wait_ms)


def retire(agent, name, wait_ms):
    """Start the retirement of a storage daemon. Returns Deferred[Result[RetirementState, Unavailable]]."""
    return submit_expecting(agent, RetireReplica(name, True, agent.settings.min_replicas), None, wait_ms)


def read_retirement(agent, name, wait_ms):
    """Read the progress of a retirement. Returns Deferred[Result[RetirementState, Unavailable]]."""
    return submit_expecting(agent, ReadRetirement(name), None, wait_ms)
