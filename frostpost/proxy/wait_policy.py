"""Bounds on how long a request waits for a missing resource before it is refused.

Most outages are short: a lease returns or a new primary decides soon after a member is lost, and a slot is freed when
another request ends. A refused program restarts its turn and fails after three refusals, so a wait that succeeds is
cheaper than a refusal, while a wait that ends in a refusal uses up the client's time.
"""

# Share of the request's remaining time. Below one half, so that the client can still retry at another daemon.
WAIT_RATIO = 0.4
# After this many lease durations without a lease, the daemon is presumed to be partitioned.
MAX_OUTAGE_LEASES = 2
# Share of the agent's wait for a decision during which the leader may queue a turn.
LEADER_WAIT_RATIO = 0.8
# Share of the latency target spent waiting for a slot.
SLOT_WAIT_RATIO = 0.25


def decision_wait_ms(remaining_ms):
    """Return how long a request may wait for a lease or a ledger decision, given the time left to its deadline."""
    return max(0, int(remaining_ms * WAIT_RATIO))


def leader_wait_ms(remaining_ms):
    """Return how long the leader may queue a turn for a slot, so that its reply arrives before the agent gives up."""
    return int(decision_wait_ms(remaining_ms) * LEADER_WAIT_RATIO)


def lease_wait_until_ms(now_ms, remaining_ms, lost_since_ms, lease_ms):
    """Return until when a request may wait for this daemon's lease, on the clock of `now_ms`.

    lost_since_ms: when the last lease ended, or when the daemon started to request its first one. lease_ms: duration of
    a full lease.
    """
    return min(now_ms + decision_wait_ms(remaining_ms), lost_since_ms + MAX_OUTAGE_LEASES * lease_ms)


def slot_wait_until_ms(now_ms, until_ms, latency_target_ms):
    """Return until when a request with deadline `until_ms` may wait for a runner slot."""
    return min(until_ms, now_ms + int(latency_target_ms * SLOT_WAIT_RATIO))
