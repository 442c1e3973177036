"""What control calls ask of the replicas.

Every function submits an operation that is ordered after the call came: its result is delivered as safe, which
takes an acknowledgement of a majority of the voters made since. Nothing is answered from this daemon's own copy.
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

STEP_MS = 20
REMEMBER_RATIO = 150


def sleep(agent, wait_ms):
    """-> Deferred that fires after that time."""
    woken = Deferred()
    agent.reactor.callLater(wait_ms / 1000, woken.callback, None)
    return woken


@inlineCallbacks
def set_routing(agent, base, version, body, digest, wait_ms):
    """Replace the routing `base` -> Result[version, RoutingConflict | RoutingForgotten | Unavailable].

    digest: tells this change from others of its number; one that was taken before is Ok again. Ok comes once every
    daemon with a running lease honours this version or a later one. After Unavailable the change may still be taken.
    """
    until_ms = now_ms(agent) + wait_ms
    change = SetRouting(base, version, body, digest, agent.settings.ack_ms * REMEMBER_RATIO)
    result = yield call_replicas_unleased(agent, change, wait_ms)
    if result.is_error():
        return result
    if not isinstance(result.ok, RoutingSet):
        refused = isinstance(result.ok, (RoutingConflict, RoutingForgotten))
        return Error(result.ok if refused else Unavailable(RETRY_MS, "verdict"))
    result = yield wait_until_honoured(agent, version, until_ms - now_ms(agent))
    return result


@inlineCallbacks
def wait_until_honoured(agent, version, wait_ms):
    """Wait until every daemon with a running lease honours a version that was taken -> Result[version, Unavailable]."""
    until_ms = now_ms(agent) + wait_ms
    while session_of(agent).honoured_version < version:
        if now_ms(agent) >= until_ms:
            return Error(Unavailable(RETRY_MS, "not honoured everywhere yet"))
        send_lease_requests(agent)
        yield sleep(agent, STEP_MS)
    return Ok(version)


@inlineCallbacks
def result_of(agent, op, kind, wait_ms):
    """Submit an operation; a result of another type than `kind` is an Unavailable, if `kind` is given."""
    result = yield call_replicas_unleased(agent, op, wait_ms)
    if result.is_ok() and kind is not None and not isinstance(result.ok, kind):
        return Error(Unavailable(RETRY_MS, "verdict"))
    return result


def read_routing(agent, wait_ms, version=0, digest=b""):
    """-> Deferred[Result[RoutingState, Unavailable]]: as ordered after this call, and what became of a change."""
    return result_of(agent, ReadRouting(version, digest), RoutingState, wait_ms)


def retire(agent, name, wait_ms):
    """-> Deferred[Result[RetirementState, Unavailable]]: empty a storage daemon."""
    return result_of(agent, RetireReplica(name, True, agent.settings.least_replicas), None, wait_ms)


def read_retirement(agent, name, wait_ms):
    """-> Deferred[Result[RetirementState, Unavailable]]: how far the emptying of a storage daemon is."""
    return result_of(agent, ReadRetirement(name), None, wait_ms)
