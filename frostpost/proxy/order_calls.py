"""Operations that a request needs decided before it may run, asked for through the loss of a lease or of a leader."""

from twisted.internet.defer import inlineCallbacks

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.lease_waiters import wait_for_lease
from frostpost.cluster.operation_client import call_replicas

from .hold_policy import order_hold_ms

LEAST_WAIT_MS = 200
# When to come back after the replicas have decided nothing for as long as a request may wait.
ORDER_RETRY_MS = 400


@inlineCallbacks
def call_until_decided(agent, operation, left_ms, delays):
    """-> Deferred of the operation's result, or of an Unavailable once the request has waited as long as it may.

    The operation may be submitted again with the same effect. left_ms: what the request has left. A lease that has
    lapsed is waited for meanwhile. What was waited is added to `delays`.
    """
    from_ms = now_ms(agent)
    until_ms = from_ms + max(1, min(left_ms, max(LEAST_WAIT_MS, order_hold_ms(left_ms))))
    while True:
        result = yield call_replicas(agent, operation, max(1, until_ms - from_ms))
        decided_ms = now_ms(agent)
        delays.order_ms += decided_ms - from_ms
        if result.is_ok():
            return result.ok
        returned = result.error.why == "lease" and decided_ms < until_ms and (yield wait_for_lease(agent, until_ms))
        from_ms = now_ms(agent)
        delays.lease_ms += from_ms - decided_ms
        # A wait that took no time would be followed by the same refusal, again and again.
        if not returned or from_ms == decided_ms:
            return result.error
