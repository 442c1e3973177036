"""The policy by which voters change: pure functions over the sequencer's view of each replica.

A set of voters is *sound* if a majority of it remains after any tolerated loss. A change is made only while a quorum of
both the old and the new set holds everything committed and every retained body, and never makes a sound set unsound.
"""

from collections import Counter

from msgspec import Struct


class Tolerance(Struct, frozen=True):
    """How many machines, zones or regions may be lost at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class ReplicaView(Struct, frozen=True):
    """A replica as the policy sees it.

    present: a member of the configuration. complete: holds all committed entries and every body. draining: its process
    is about to end. retiring: an operator is removing it. absent_ms: how long it has not been present.
    """

    name: str
    zone: str = ""
    region: str = ""
    present: bool = True
    complete: bool = True
    draining: bool = False
    retiring: bool = False
    absent_ms: int = 0


class AbsenceLimits(Struct, frozen=True):
    """How long a voter may be absent before a complete newcomer replaces it, and before it is removed without one."""

    replace_after_ms: int
    remove_after_ms: int


def largest_loss(replicas, tolerance):
    """The largest number of these replicas that a tolerated loss can take."""
    by_zone = Counter(r.zone for r in replicas).most_common(tolerance.zones) if tolerance.zones else ()
    by_region = Counter(r.region for r in replicas).most_common(tolerance.regions) if tolerance.regions else ()
    machines = min(tolerance.machines, len(replicas))
    return max(machines, sum(n for _, n in by_zone), sum(n for _, n in by_region))


def majority_margin(replicas, tolerance):
    """Twice the number of replicas left after the worst tolerated loss, less all; positive if they are a majority."""
    return 2 * (len(replicas) - largest_loss(replicas, tolerance)) - len(replicas)


def tolerates_loss(replicas, tolerance):
    """Whether a majority remains after the worst tolerated loss."""
    return majority_margin(replicas, tolerance) > 0


def has_complete_quorum(voters):
    """Whether a majority of these voters is present and complete."""
    return 2 * sum(r.present and r.complete for r in voters) > len(voters)


def is_safe_step(before, after, tolerance):
    """Whether quorums of both sets are complete and the step makes no sound set unsound."""
    keeps_margin = tolerates_loss(after, tolerance) or majority_margin(after, tolerance) >= majority_margin(
        before, tolerance
    )
    return bool(after) and keeps_margin and has_complete_quorum(before) and has_complete_quorum(after)


def next_voters(voters, others, tolerance, absence_limits, may_swap=True):
    """Names of the voters after the next change, or None if no change is needed.

    voters: views of the replicas that vote. others: present ones that don't.
    """
    for after in candidate_sets(tuple(voters), others, tolerance, absence_limits, may_swap):
        if is_safe_step(voters, after, tolerance):
            return tuple(sorted(r.name for r in after))
    return None


def candidate_sets(voters, others, tolerance, absence_limits, may_swap):
    """Candidates for the next set of voters, in order of preference."""
    eligible = [r for r in others if r.complete and not (r.draining or r.retiring)]
    eligible.sort(key=lambda r: -majority_margin((*voters, r), tolerance))
    absent = [r for r in voters if not r.present]
    overdue = [r for r in absent if r.absent_ms >= min(absence_limits.replace_after_ms, absence_limits.remove_after_ms)]
    for newcomer in eligible if may_swap else ():
        yield from ((*without(voters, r), newcomer) for r in overdue)
    if not absent or not may_swap:
        yield from ((*voters, newcomer) for newcomer in eligible)
    yield from sets_without_departing(voters, absent, tolerance, absence_limits)
    yield from sets_spread_wider(voters, tolerance)


def sets_without_departing(voters, absent, tolerance, absence_limits):
    """Sets without a draining, retiring or long absent voter, where the remaining voters are sound."""
    draining = [r for r in voters if r.draining and r.present]
    retiring = [
        r for r in voters if r.retiring and all(other.present and other.complete for other in without(voters, r))
    ]
    long_absent = [r for r in absent if r.absent_ms >= absence_limits.remove_after_ms]
    for departing in (*draining, *retiring, *long_absent):
        remaining = without(voters, departing)
        if tolerates_loss(remaining, tolerance):
            yield remaining


def sets_spread_wider(voters, tolerance):
    """Sets without one voter of a zone or region that has too many."""
    if tolerates_loss(voters, tolerance):
        return
    for voter in voters:
        remaining = without(voters, voter)
        if majority_margin(remaining, tolerance) > majority_margin(voters, tolerance):
            yield remaining


def without(voters, departing):
    """The voters except one."""
    return tuple(r for r in voters if r.name != departing.name)
