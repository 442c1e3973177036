"""Requests that wait until their daemon holds a lease."""

from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from . import lease_client
from .agent_context import now_ms

# Bounds memory during an outage; further requests are refused at once.
MAX_LEASE_WAITERS = 512


class LeaseWaiter(Struct, eq=False):
    """A waiting request; `answer` fires with whether the lease came before the timer expired."""

    answer: Deferred
    timer: object


def lease_lost_at_ms(agent):
    """When the last lease ended, or when this daemon began to search for its first one."""
    session = lease_client.session_of(agent)
    return max(session.until_ms, session.search_started_ms)


def may_serve(agent):
    """Whether this daemon holds a lease and a routing."""
    return agent.routing is not None and lease_client.holds_lease(agent)


def wait_for_lease(agent, until_ms):
    """Wait until this daemon may serve, or until `until_ms` of its clock.

    Returns a Deferred that fires with whether it may serve.
    """
    waiters, now = agent.lease_waiters, now_ms(agent)
    if may_serve(agent) or until_ms <= now or len(waiters) >= MAX_LEASE_WAITERS:
        return succeed(may_serve(agent))
    waiter = LeaseWaiter(Deferred(), None)

    def on_timeout():
        waiters.remove(waiter)
        waiter.answer.callback(may_serve(agent))

    waiter.timer = agent.reactor.callLater((until_ms - now) / 1000, on_timeout)
    waiters.append(waiter)
    return waiter.answer


def wake_lease_waiters(agent):
    """Resume the waiting requests in order of arrival if this daemon may serve."""
    if not agent.lease_waiters or not may_serve(agent):
        return
    resumed = list(agent.lease_waiters)
    agent.lease_waiters.clear()
    for waiter in resumed:
        waiter.timer.cancel()
    for waiter in resumed:
        waiter.answer.callback(True)
