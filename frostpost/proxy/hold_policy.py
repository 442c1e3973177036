"""How long a request may wait for what it lacks, before it is refused with a promise and a time to come back.

What is waited for comes back by itself: the lease of this daemon and the decision of the replicas after a member was
lost, a slot after another request has ended. A refused program starts its turn anew, and after three refusals it fails;
so a wait that ends well is worth more than a refusal, and a wait that ends in a refusal costs the caller its time.
"""

# Of the time that a request has left. Below one half: the caller can still try another daemon with the rest.
HOLD_RATIO = 0.4
# A lease that has been gone for longer than this many lease times isn't about to return: this daemon is cut off.
LEASE_OUTAGES = 2
# Of the time that an agent waits for a decision, the part that the leader may keep a turn waiting.
LEADER_RATIO = 0.8
# A slot is waited for up to this share of the latency target.
SLOT_RATIO = 0.25


def order_hold_ms(left_ms):
    """How long a request with `left_ms` milliseconds left may wait for a lease or for a decision, in milliseconds."""
    return max(0, int(left_ms * HOLD_RATIO))


def begin_hold_ms(left_ms):
    """How long a turn may wait at the leader for a slot, answered before its agent gives up."""
    return int(order_hold_ms(left_ms) * LEADER_RATIO)


def lease_hold_until_ms(now_ms, left_ms, gone_since_ms, lease_ms):
    """Until when a request may wait for the lease of its daemon, on the clock of `now_ms`.

    gone_since_ms: when the last lease ended, or when the daemon began to look for its first one.
    lease_ms: the length of a full lease.
    """
    return min(now_ms + order_hold_ms(left_ms), gone_since_ms + LEASE_OUTAGES * lease_ms)


def slot_hold_until_ms(now_ms, until_ms, latency_target_ms):
    """Until when a request that must end by `until_ms` may wait for a runner's slot."""
    return min(until_ms, now_ms + int(latency_target_ms * SLOT_RATIO))
