"""The rule by which voters change: pure functions over what the sequencer knows of each replica.

A set of voters is *sound* if a majority of it remains whatever the tolerance lets go at once. A change is made only
while a quorum of the set before and of the set after hold everything committed and every body inside retention, and it
never makes a sound set unsound.
"""

from collections import Counter

from msgspec import Struct


class Tolerance(Struct, frozen=True):
    """How many machines, zones or regions may be lost at once."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class ReplicaView(Struct, frozen=True):
    """present: a member of the configuration. whole: holds all that is committed, and every body. leaving: its process
    is about to end. emptying: the operator wants it emptied. away_ms: how long it hasn't been present."""

    name: str
    zone: str = ""
    region: str = ""
    present: bool = True
    complete: bool = True
    draining: bool = False
    retiring: bool = False
    away_ms: int = 0


class AbsenceLimits(Struct, frozen=True):
    """How long a voter is away before it gives way: to a whole newcomer, and without one."""

    to_newcomer_ms: int
    alone_ms: int


def largest_loss(replicas, tolerance):
    """How many of these a loss inside the tolerance takes at the most."""
    by_zone = Counter(r.zone for r in replicas).most_common(tolerance.zones) if tolerance.zones else ()
    by_region = Counter(r.region for r in replicas).most_common(tolerance.regions) if tolerance.regions else ()
    machines = min(tolerance.machines, len(replicas))
    return max(machines, sum(n for _, n in by_zone), sum(n for _, n in by_region))


def majority_margin(replicas, tolerance):
    """Above 0 if what the worst loss leaves is a majority; by how much, in halves of a voter."""
    return 2 * (len(replicas) - largest_loss(replicas, tolerance)) - len(replicas)


def tolerates_loss(replicas, tolerance):
    """Whether a majority remains after the worst loss inside the tolerance."""
    return majority_margin(replicas, tolerance) > 0


def has_complete_quorum(voters):
    """Whether a majority of these voters is present and complete."""
    return 2 * sum(r.present and r.complete for r in voters) > len(voters)


def is_safe_step(before, after, tolerance):
    """Whether the step may be made: held by quorums of both sets, and no sound set becomes unsound by it."""
    kept = tolerates_loss(after, tolerance) or majority_margin(after, tolerance) >= majority_margin(before, tolerance)
    return bool(after) and kept and has_complete_quorum(before) and has_complete_quorum(after)


def next_voters(voters, others, tolerance, waits, may_swap=True):
    """Names of the voters after the next change, or None if they are right.

    voters: views of the replicas that vote. others: present ones that don't.
    """
    for after in candidate_sets(tuple(voters), others, tolerance, waits, may_swap):
        if is_safe_step(voters, after, tolerance):
            return tuple(sorted(r.name for r in after))
    return None


def candidate_sets(voters, others, tolerance, waits, may_swap):
    """Candidates for the next set, the best first."""
    fresh = [r for r in others if r.complete and not (r.draining or r.retiring)]
    fresh.sort(key=lambda r: -majority_margin((*voters, r), tolerance))
    away = [r for r in voters if not r.present]
    late = [r for r in away if r.away_ms >= min(waits.to_newcomer_ms, waits.alone_ms)]
    for newcomer in fresh if may_swap else ():
        yield from ((*without(voters, r), newcomer) for r in late)
    if not away or not may_swap:
        yield from ((*voters, newcomer) for newcomer in fresh)
    yield from sets_without_leaver(voters, away, tolerance, waits)
    yield from sets_spread_wider(voters, tolerance)


def sets_without_leaver(voters, away, tolerance, waits):
    """Sets without a voter that is to go or has been gone for long, where what remains is sound."""
    leaving = [r for r in voters if r.draining and r.present]
    emptying = [r for r in voters if r.retiring and all(o.present and o.complete for o in without(voters, r))]
    gone = [r for r in away if r.away_ms >= waits.alone_ms]
    for leaver in (*leaving, *emptying, *gone):
        rest = without(voters, leaver)
        if tolerates_loss(rest, tolerance):
            yield rest


def sets_spread_wider(voters, tolerance):
    """Sets without one of too many voters of a zone or region."""
    if tolerates_loss(voters, tolerance):
        return
    for voter in voters:
        rest = without(voters, voter)
        if majority_margin(rest, tolerance) > majority_margin(voters, tolerance):
            yield rest


def without(voters, leaver):
    """The voters but for one."""
    return tuple(r for r in voters if r.name != leaver.name)
