"""The rule for voters, walked exhaustively: whatever is lost inside the tolerance, at any step, a majority returns."""

from itertools import combinations

import pytest
from msgspec import Struct, structs

from frostpost.cluster import voter_policy
from frostpost.cluster.voter_policy import (
    AbsenceLimits,
    ReplicaView,
    Tolerance,
    majority_margin,
    next_voters,
    tolerates_loss,
)

WAITS = AbsenceLimits(to_newcomer_ms=1000, alone_ms=4000)
JUST_AWAY, LONG_AWAY = 10, 5000
MOST_JOINS = 3


class Machine(Struct, frozen=True, order=True):
    """status: in, away (its disk returns), gone, or ending (told to end for good). whole: holds all that is kept."""

    name: str
    zone: str
    status: str = "in"
    whole: bool = True
    away_ms: int = 0


class State(Struct, frozen=True):
    """lost: machines whose loss still counts. heirs: by machine that was lost for good, the one that came for it."""

    machines: tuple[Machine, ...]
    voters: tuple[str, ...]
    lost: frozenset[str] = frozenset()
    heirs: tuple[tuple[str, str], ...] = ()
    joins: int = 0


def machine(state, name):
    return next(m for m in state.machines if m.name == name)


def changed(state, name, **fields):
    machines = tuple(structs.replace(m, **fields) if m.name == name else m for m in state.machines)
    return structs.replace(state, machines=machines)


def views(state, names):
    return [view(machine(state, name)) for name in names]


def view(found):
    present = found.status in ("in", "ending")
    return ReplicaView(
        found.name,
        found.zone,
        present=present,
        complete=present and found.whole,
        draining=found.status == "ending",
        away_ms=found.away_ms,
    )


def wished(state, tolerance):
    others = [m.name for m in state.machines if m.name not in state.voters and m.status in ("in", "ending")]
    return next_voters(views(state, state.voters), views(state, others), tolerance, WAITS)


def returns(state, name):
    """Whether a voter's memory is there, or comes back."""
    found = machine(state, name)
    return found.status == "away" or found.status in ("in", "ending") and found.whole


def majority_returns(state):
    return 2 * sum(returns(state, v) for v in state.voters) > len(state.voters)


def opens(state):
    """Whether a majority is there right now, so that changes can be decided."""
    there = [v for v in state.voters if machine(state, v).status in ("in", "ending") and machine(state, v).whole]
    return 2 * len(there) > len(state.voters)


def losable(state, tolerance):
    """Names of machines that a further loss inside the tolerance may take."""
    return [m.name for m in state.machines if m.status == "in" and len(state.lost | {m.name}) <= tolerance.machines]


def with_loss(state, name, status):
    after = changed(state, name, status=status, whole=status == "away", away_ms=JUST_AWAY)
    return structs.replace(after, lost=after.lost | {name})


def losses(state, tolerance):
    for name in losable(state, tolerance):
        yield with_loss(state, name, "away")
        yield with_loss(state, name, "gone")
        wiped = changed(state, name, whole=False)
        yield structs.replace(wiped, lost=wiped.lost | {name})


def joins(state):
    """An heir for a machine that is gone, or one more machine."""
    if state.joins >= MOST_JOINS:
        return
    fresh, heired = f"x{state.joins}", {lost for lost, _ in state.heirs}
    for found in state.machines:
        if found.status == "gone" and found.name not in heired:
            machines = (*state.machines, Machine(fresh, found.zone, whole=False))
            yield structs.replace(
                state, machines=machines, heirs=(*state.heirs, (found.name, fresh)), joins=state.joins + 1
            )
    machines = (*state.machines, Machine(fresh, state.machines[state.joins % 3].zone, whole=False))
    yield structs.replace(state, machines=machines, joins=state.joins + 1)


def progress(state):
    """Time goes on: copies are filled, machines return or are away for long."""
    for found in state.machines:
        if found.status == "in" and not found.whole and opens(state):
            yield changed(state, found.name, whole=True)
        if found.status == "away":
            yield changed(state, found.name, status="in", away_ms=0)
        if found.status in ("away", "gone") and found.away_ms < LONG_AWAY:
            yield changed(state, found.name, away_ms=LONG_AWAY)


def ends(state, tolerance):
    """A machine is told to end for good once another could do its work; it goes when its vote is given up."""
    spare = [m for m in state.machines if m.status == "in" and m.whole]
    one_at_a_time = all(m.status != "ending" for m in state.machines)
    for found in spare if one_at_a_time else ():
        rest = [v for v in views(state, state.voters) if v.name != found.name]
        if not state.lost and len(spare) > 2 * tolerance.machines + 1 and tolerates_loss(rest, tolerance):
            yield changed(state, found.name, status="ending")
    for found in state.machines:
        if found.status == "ending" and (found.name not in state.voters or wished(state, tolerance) is None):
            yield changed(state, found.name, status="gone", whole=False, away_ms=LONG_AWAY)


def made_good(state, tolerance):
    """Losses stop counting once the machine or its heir has caught up, and the rule has come to rest by then."""
    heirs = dict(state.heirs)
    in_a_moment = any(m.status == "gone" and m.away_ms < LONG_AWAY for m in state.machines)
    if in_a_moment or wished(state, tolerance) is not None:
        return
    for name in state.lost:
        back = machine(state, heirs.get(name, name))
        if back.status == "in" and back.whole:
            yield structs.replace(state, lost=state.lost - {name})


def successors(state, tolerance):
    after = wished(state, tolerance)
    if after is not None and opens(state):
        yield structs.replace(state, voters=after)
    yield from losses(state, tolerance)
    yield from joins(state)
    yield from progress(state)
    yield from ends(state, tolerance)
    yield from made_good(state, tolerance)


def walk(start, tolerance, most_states=20_000):
    """-> number of states seen, and the first one from which no majority returns, or None."""
    seen, layer = {start}, [start]
    while layer and len(seen) < most_states:
        ahead = []
        for state in layer:
            if not majority_returns(state):
                return len(seen), state
            for after in successors(state, tolerance):
                if after not in seen:
                    seen.add(after)
                    ahead.append(after)
        layer = ahead
    return len(seen), None


def begun(count, zones=3):
    machines = tuple(Machine(f"s{n}", f"z{n % zones}") for n in range(count))
    return State(machines, tuple(m.name for m in machines))


@pytest.mark.parametrize("count, machines", [(3, 1), (4, 1), (5, 1), (5, 2)])
def test_a_majority_returns_after_any_loss_at_any_step(count, machines):
    seen, broken = walk(begun(count), Tolerance(machines))
    assert broken is None and seen > 1000


def always(*_):
    return True


def unfilled_steps(voters, others, tolerance, waits, may_swap):
    """A newcomer is added before it holds anything."""
    yield from ((*voters, other) for other in others)


def keeps_leavers(voters, others, tolerance, waits, may_swap, kept=voter_policy.candidate_sets):
    """Who ends in order keeps its vote."""
    stay = [structs.replace(voter, draining=False) for voter in voters]
    return kept(tuple(stay), others, tolerance, waits, may_swap)


def waits_for_newcomers(voters, others, tolerance, waits, may_swap, kept=voter_policy.candidate_sets):
    """Newcomers are never exchanged for those that are gone."""
    return kept(voters, [], tolerance, waits, may_swap)


@pytest.mark.parametrize(
    "plant",
    [
        {"candidate_sets": unfilled_steps, "is_safe_step": always},
        {"candidate_sets": keeps_leavers},
        {"candidate_sets": waits_for_newcomers},
    ],
    ids=["unfilled", "leavers", "newcomers"],
)
def test_a_rule_with_a_planted_fault_leaves_no_majority_somewhere(plant, monkeypatch):
    for name, fault in plant.items():
        monkeypatch.setattr(voter_policy, name, fault)
    _, broken = walk(begun(4), Tolerance(1))
    assert broken is not None


def replicas(zones, **more):
    return [ReplicaView(f"{zone}{n}", zone, f"r{zone}", **more) for n, zone in enumerate(zones)]


@pytest.mark.parametrize(
    "zones, tolerance, expected",
    [
        ("abc", Tolerance(1), True),
        ("ab", Tolerance(1), False),
        ("a", Tolerance(0), True),
        ("", Tolerance(0), False),
        ("abc", Tolerance(0, zones=1), True),
        ("aabc", Tolerance(0, zones=1), False),
        ("aabbc", Tolerance(0, zones=1), True),
        ("aabbcc", Tolerance(1, zones=1), True),
        ("abcd", Tolerance(0, zones=2), False),
        ("abcde", Tolerance(0, zones=2), True),
        ("aab", Tolerance(0, regions=1), False),
        ("abc", Tolerance(0, regions=1), True),
    ],
)
def test_sound_sets_leave_a_majority_of_themselves(zones, tolerance, expected):
    assert tolerates_loss(replicas(zones), tolerance) is expected


def test_every_loss_of_zones_leaves_a_majority_of_a_sound_set():
    for zones in ("abc", "aabbc", "aabbcc", "aabbccd", "abcde", "aabcde"):
        for most in (1, 2):
            if not tolerates_loss(replicas(zones), Tolerance(0, zones=most)):
                continue
            for lost in combinations(sorted(set(zones)), most):
                assert 2 * sum(zone not in lost for zone in zones) > len(zones)


def spread(voters, others, **more):
    return next_voters(replicas(voters), replicas(others), Tolerance(0, zones=1), WAITS, **more)


def test_voters_are_added_where_the_loss_of_a_zone_is_still_borne():
    everywhere = [ReplicaView(f"{zone}9", zone) for zone in "abc"]
    assert next_voters(replicas("abc"), everywhere, Tolerance(0, zones=1), WAITS) is None
    assert next_voters(replicas("ab"), everywhere, Tolerance(0, zones=1), WAITS) == ("a0", "b1", "c9")


def test_too_many_voters_of_a_zone_give_way_once_another_zone_has_one():
    voters = replicas("aab")
    assert majority_margin(voters, Tolerance(0, zones=1)) < 0
    first = next_voters(voters, [ReplicaView("c9", "c")], Tolerance(0, zones=1), WAITS)
    assert first == ("a0", "a1", "b2", "c9")
    then = next_voters([*voters, ReplicaView("c9", "c")], [], Tolerance(0, zones=1), WAITS)
    assert then == ("a1", "b2", "c9")


def test_the_newcomer_of_another_zone_does_not_take_the_place_of_a_lost_one():
    voters = replicas("abc")
    voters[1] = structs.replace(voters[1], present=False, complete=False, away_ms=LONG_AWAY)
    tolerance = Tolerance(0, zones=1)
    assert next_voters(voters, [ReplicaView("a9", "a")], tolerance, WAITS) is None
    assert next_voters(voters, [ReplicaView("b9", "b"), ReplicaView("a9", "a")], tolerance, WAITS) == ("a0", "b9", "c2")
