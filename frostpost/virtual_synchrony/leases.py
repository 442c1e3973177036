"""The lease under which a member serves: a majority of the voters has granted it, each by confirming a heartbeat.

A grant counts from when this member sent the heartbeat that the voter echoed, by this member's own clock, and only
while both stand in the same configuration and have promised no other. So a lease ends before a primary without this
member, which needs a majority of the same voters and waits for `lease_ms`, counts on it.
"""

from .quorum import is_majority
from .state import NEVER_MS


def holds_lease(synchrony, now_ms):
    """Whether this member may serve at that time: checked last, after all else that a request needs.

    It has applied the entry that opened its primary, takes part in no recovery, and a majority of the voters grants it
    a lease that still runs.
    """
    if not synchrony.primary.opened or synchrony.recovery is not None or synchrony.draining:
        return False
    if synchrony.applied < synchrony.primary.base + 1:
        return False
    return is_majority(current_voters(synchrony), granting_members(synchrony, now_ms))


def current_voters(synchrony):
    """The voters in force, or those of the bootstrap record until the log has told of any."""
    return synchrony.voters or synchrony.bootstrap_voters


def granting_members(synchrony, now_ms):
    """Names of the members whose grant still runs; this member grants itself."""
    granting = {synchrony.name}
    for name, peer in synchrony.peers.items():
        runs = now_ms - peer.granted_ms < synchrony.bounds.lease_ms
        if runs and peer.endpoint.member in synchrony.configuration.members:
            granting.add(name)
    return granting


def lease_remaining_ms(synchrony, now_ms):
    """How long this member's lease runs on, in milliseconds; 0 if it has none."""
    if not holds_lease(synchrony, now_ms):
        return 0
    voters = current_voters(synchrony)
    granted_ms = sorted((grant_start_ms(synchrony, voter, now_ms) for voter in voters), reverse=True)
    return max(0, synchrony.bounds.lease_ms - (now_ms - granted_ms[len(voters) // 2]))


def grant_start_ms(synchrony, voter, now_ms):
    """From when a voter's grant counts; its own is always new."""
    if voter == synchrony.name:
        return now_ms
    return synchrony.peers[voter].granted_ms if voter in synchrony.peers else NEVER_MS
