"""The lease under which a member serves, granted by a majority of the voters through their heartbeats.

A grant is valid from the time, by this member's clock, at which this member sent the heartbeat that the voter echoed,
and only while both are in the same configuration and have promised no other. A primary without this member needs a
majority of the same voters, and waits for `lease_ms` before it relies on the expiry of this member's lease.
"""

from .quorum import is_majority
from .state import NEVER_MS


def holds_lease(synchrony, now_ms):
    """Return whether this member may serve at `now_ms`; a request checks this last, after everything else.

    The member must have applied the entry that opened its primary, must be neither recovering nor draining, and must
    hold unexpired grants from a majority of the voters.
    """
    if not synchrony.primary.opened or synchrony.recovery is not None or synchrony.draining:
        return False
    if synchrony.applied < synchrony.primary.base + 1:
        return False
    return is_majority(current_voters(synchrony), granting_members(synchrony, now_ms))


def current_voters(synchrony):
    """Return the voters in force, or those of the bootstrap record until the log contains any."""
    return synchrony.voters or synchrony.bootstrap_voters


def granting_members(synchrony, now_ms):
    """Return the names of the members whose grant has not expired, including this member."""
    granting = {synchrony.name}
    for name, peer in synchrony.peers.items():
        is_valid = now_ms - peer.granted_ms < synchrony.bounds.lease_ms
        if is_valid and peer.endpoint.member in synchrony.configuration.members:
            granting.add(name)
    return granting


def lease_remaining_ms(synchrony, now_ms):
    """Return the remaining time of this member's lease in milliseconds; 0 if it holds none."""
    if not holds_lease(synchrony, now_ms):
        return 0
    voters = current_voters(synchrony)
    starts_ms = sorted((grant_start_ms(synchrony, voter, now_ms) for voter in voters), reverse=True)
    return max(0, synchrony.bounds.lease_ms - (now_ms - starts_ms[len(voters) // 2]))


def grant_start_ms(synchrony, voter, now_ms):
    """Return the time from which a voter's grant counts; this member's own grant is always current."""
    if voter == synchrony.name:
        return now_ms
    return synchrony.peers[voter].granted_ms if voter in synchrony.peers else NEVER_MS
