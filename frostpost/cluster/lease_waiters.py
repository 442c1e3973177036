"""Requests that wait for the lease of their daemon."""

from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from . import lease_client
from .agent_context import now_ms

# Requests that may wait at a time; more are refused at once, so that an outage can't fill the memory.
MOST_LEASE_WAITERS = 512


class LeaseWaiter(Struct, eq=False):
    """One that waits: `answer` fires with whether the lease came before the timer did."""

    answer: Deferred
    timer: object


def lease_gone_since_ms(agent):
    """When the last lease ended, or when this daemon began to look for its first one."""
    session = lease_client.session_of(agent)
    return max(session.until_ms, session.opened_ms)


def may_serve(agent):
    """Whether this daemon holds a lease and a routing to serve by."""
    return agent.routing is not None and lease_client.holds_lease(agent)


def wait_for_lease(agent, until_ms):
    """-> Deferred[bool]: whether this daemon may serve, as soon as it may or at `until_ms` of its clock."""
    waiters, now = agent.lease_waiters, now_ms(agent)
    if may_serve(agent) or until_ms <= now or len(waiters) >= MOST_LEASE_WAITERS:
        return succeed(may_serve(agent))
    waiter = LeaseWaiter(Deferred(), None)

    def timed_out():
        waiters.remove(waiter)
        waiter.answer.callback(may_serve(agent))

    waiter.timer = agent.reactor.callLater((until_ms - now) / 1000, timed_out)
    waiters.append(waiter)
    return waiter.answer


def wake_lease_waiters(agent):
    """Let those who wait go on, in the order in which they came, if the lease is there."""
    if not agent.lease_waiters or not may_serve(agent):
        return
    woken = list(agent.lease_waiters)
    agent.lease_waiters.clear()
    for waiter in woken:
        waiter.timer.cancel()
    for waiter in woken:
        waiter.answer.callback(True)
