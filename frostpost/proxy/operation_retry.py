"""Ledger operations that have to be decided before a request may proceed, retried across lease loss and failover."""

from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.lease_waiters import wait_for_lease
from frostpost.cluster.operation_client import call_replicas

from .wait_policy import decision_wait_ms

MIN_WAIT_MS = 200
# Retry delay suggested to the client when the replicas did not decide in time.
DECISION_RETRY_MS = 400


@inlineCallbacks
def call_until_decided(agent, operation, remaining_ms, delays):
    """Submit an operation until it is decided or the request's wait bound has passed.

    The operation must be idempotent. While the daemon has no lease, waits for one. Adds the time spent waiting to
    `delays`. remaining_ms: time until the request's deadline. Returns a Deferred of the result, or of an Unavailable.
    """
    start_ms = now_ms(agent)
    until_ms = start_ms + max(1, min(remaining_ms, max(MIN_WAIT_MS, decision_wait_ms(remaining_ms))))
    while True:
        result = yield call_replicas(agent, operation, max(1, until_ms - start_ms))
        decided_ms = now_ms(agent)
        delays.order_ms += decided_ms - start_ms
        if result.is_ok():
            return result.ok
        lease_returned = (
            result.error.why == "lease" and decided_ms < until_ms and (yield wait_for_lease(agent, until_ms))
        )
        start_ms = now_ms(agent)
        delays.lease_ms += start_ms - decided_ms
        # If no time has passed, resubmitting would be refused again in an endless loop.
        if not lease_returned or start_ms == decided_ms:
            return result.error
