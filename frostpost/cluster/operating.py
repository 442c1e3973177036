"""What control calls ask of the ring."""

from expression import Error, Ok
from twisted.internet.defer import Deferred, inlineCallbacks

from frostpost.program_ledger.words import (
    LookRetired,
    LookRouting,
    Retire,
    RoutingHeld,
    RoutingMoved,
    RoutingSet,
    SetRouting,
)
from frostpost.proxy.failures import Unavailable

from .asking import RETRY_MS, look
from .context import now_ms
from .lease import renew, session

STEP_MS = 20


def pause(leaf, wait_ms):
    woken = Deferred()
    leaf.reactor.callLater(wait_ms / 1000, woken.callback, None)
    return woken


@inlineCallbacks
def set_routing(leaf, base, version, body, wait_ms):
    """-> Result[version, RoutingMoved | Unavailable]; Ok once every daemon with a running lease honours it."""
    until_ms = now_ms(leaf) + wait_ms
    result = yield look(leaf, SetRouting(base, version, body), wait_ms)
    if result.is_error():
        return result
    if not isinstance(result.ok, RoutingSet):
        return Error(result.ok if isinstance(result.ok, RoutingMoved) else Unavailable(RETRY_MS, "verdict"))
    while session(leaf).honoured < version:
        if now_ms(leaf) >= until_ms:
            return Error(Unavailable(RETRY_MS, "not honoured everywhere yet"))
        renew(leaf)
        yield pause(leaf, STEP_MS)
    return Ok(version)


@inlineCallbacks
def verdict_of(leaf, op, kind, wait_ms):
    result = yield look(leaf, op, wait_ms)
    if result.is_ok() and kind is not None and not isinstance(result.ok, kind):
        return Error(Unavailable(RETRY_MS, "verdict"))
    return result


def look_routing(leaf, wait_ms):
    """-> Deferred[Result[RoutingHeld, Unavailable]], as the ring's order has it now."""
    return verdict_of(leaf, LookRouting(), RoutingHeld, wait_ms)


def retire(leaf, name, wait_ms):
    """-> Deferred[Result[RetireState, Unavailable]]: empty a storage daemon."""
    return verdict_of(leaf, Retire(name, True, leaf.settings.least_replicas), None, wait_ms)


def look_retired(leaf, name, wait_ms):
    return verdict_of(leaf, LookRetired(name), None, wait_ms)
