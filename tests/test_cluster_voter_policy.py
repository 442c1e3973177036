"""The voter policy, explored exhaustively: after any tolerated losses a majority of the voters survives."""

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

ABSENCE_LIMITS = AbsenceLimits(replace_after_ms=1000, remove_after_ms=4000)
BRIEFLY_ABSENT_MS, LONG_ABSENT_MS = 10, 5000
MAX_JOINS = 3


class Machine(Struct, frozen=True, order=True):
    """status: in, away (its disk returns), gone, or ending (shutting down). complete: holds all retained data."""

    name: str
    zone: str
    status: str = "in"
    complete: bool = True
    absent_ms: int = 0


class State(Struct, frozen=True):
    """lost: machines whose loss still counts towards the tolerance.

    replacements: pairs of a machine that was lost for good and the machine that replaces it.
    """

    machines: tuple[Machine, ...]
    voters: tuple[str, ...]
    lost: frozenset[str] = frozenset()
    replacements: tuple[tuple[str, str], ...] = ()
    joins: int = 0


def machine(state, name):
    return next(m for m in state.machines if m.name == name)


def changed(state, name, **fields):
    machines = tuple(structs.replace(m, **fields) if m.name == name else m for m in state.machines)
    return structs.replace(state, machines=machines)


def views(state, names):
    return [view(machine(state, name)) for name in names]


def view(machine_state):
    present = machine_state.status in ("in", "ending")
    return ReplicaView(
        machine_state.name,
        machine_state.zone,
        present=present,
        complete=present and machine_state.complete,
        draining=machine_state.status == "ending",
        absent_ms=machine_state.absent_ms,
    )


def next_set(state, tolerance):
    others = [m.name for m in state.machines if m.name not in state.voters and m.status in ("in", "ending")]
    return next_voters(views(state, state.voters), views(state, others), tolerance, ABSENCE_LIMITS)


def data_survives(state, name):
    """Whether a voter's data is available or will be again."""
    machine_state = machine(state, name)
    return machine_state.status == "away" or machine_state.status in ("in", "ending") and machine_state.complete


def majority_survives(state):
    return 2 * sum(data_survives(state, v) for v in state.voters) > len(state.voters)


def has_live_majority(state):
    """Whether a majority of the voters is present and complete, so that changes can be decided."""
    live = [v for v in state.voters if machine(state, v).status in ("in", "ending") and machine(state, v).complete]
    return 2 * len(live) > len(state.voters)


def next_losses(state, tolerance):
    """Names of machines whose further loss is within the tolerance."""
    return [m.name for m in state.machines if m.status == "in" and len(state.lost | {m.name}) <= tolerance.machines]


def with_loss(state, name, status):
    successor = changed(state, name, status=status, complete=status == "away", absent_ms=BRIEFLY_ABSENT_MS)
    return structs.replace(successor, lost=successor.lost | {name})


def losses(state, tolerance):
    for name in next_losses(state, tolerance):
        yield with_loss(state, name, "away")
        yield with_loss(state, name, "gone")
        wiped = changed(state, name, complete=False)
        yield structs.replace(wiped, lost=wiped.lost | {name})


def joins(state):
    """States with a replacement for a machine that is gone, or with one more machine."""
    if state.joins >= MAX_JOINS:
        return
    newcomer, replaced = f"x{state.joins}", {lost for lost, _ in state.replacements}
    for machine_state in state.machines:
        if machine_state.status == "gone" and machine_state.name not in replaced:
            machines = (*state.machines, Machine(newcomer, machine_state.zone, complete=False))
            yield structs.replace(
                state,
                machines=machines,
                replacements=(*state.replacements, (machine_state.name, newcomer)),
                joins=state.joins + 1,
            )
    machines = (*state.machines, Machine(newcomer, state.machines[state.joins % 3].zone, complete=False))
    yield structs.replace(state, machines=machines, joins=state.joins + 1)


def progress(state):
    """States in which time has passed: copies are filled, machines return or stay absent."""
    for machine_state in state.machines:
        if machine_state.status == "in" and not machine_state.complete and has_live_majority(state):
            yield changed(state, machine_state.name, complete=True)
        if machine_state.status == "away":
            yield changed(state, machine_state.name, status="in", absent_ms=0)
        if machine_state.status in ("away", "gone") and machine_state.absent_ms < LONG_ABSENT_MS:
            yield changed(state, machine_state.name, absent_ms=LONG_ABSENT_MS)


def departures(state, tolerance):
    """States in which a machine starts to shut down, or ends after giving up its vote."""
    complete_machines = [m for m in state.machines if m.status == "in" and m.complete]
    one_at_a_time = all(m.status != "ending" for m in state.machines)
    for machine_state in complete_machines if one_at_a_time else ():
        remaining = [v for v in views(state, state.voters) if v.name != machine_state.name]
        if (
            not state.lost
            and len(complete_machines) > 2 * tolerance.machines + 1
            and tolerates_loss(remaining, tolerance)
        ):
            yield changed(state, machine_state.name, status="ending")
    for machine_state in state.machines:
        if machine_state.status == "ending" and (
            machine_state.name not in state.voters or next_set(state, tolerance) is None
        ):
            yield changed(state, machine_state.name, status="gone", complete=False, absent_ms=LONG_ABSENT_MS)


def recovered_losses(state, tolerance):
    """States in which a loss stops counting, after its machine or replacement caught up and no change is due."""
    replacements = dict(state.replacements)
    recently_gone = any(m.status == "gone" and m.absent_ms < LONG_ABSENT_MS for m in state.machines)
    if recently_gone or next_set(state, tolerance) is not None:
        return
    for name in state.lost:
        replacement = machine(state, replacements.get(name, name))
        if replacement.status == "in" and replacement.complete:
            yield structs.replace(state, lost=state.lost - {name})


def successors(state, tolerance):
    successor = next_set(state, tolerance)
    if successor is not None and has_live_majority(state):
        yield structs.replace(state, voters=successor)
    yield from losses(state, tolerance)
    yield from joins(state)
    yield from progress(state)
    yield from departures(state, tolerance)
    yield from recovered_losses(state, tolerance)


def explore(start, tolerance, max_states=20_000):
    """Returns the number of states visited, and the first one in which no majority survives, or None."""
    states, layer = {start}, [start]
    while layer and len(states) < max_states:
        next_layer = []
        for state in layer:
            if not majority_survives(state):
                return len(states), state
            for successor in successors(state, tolerance):
                if successor not in states:
                    states.add(successor)
                    next_layer.append(successor)
        layer = next_layer
    return len(states), None


def initial_state(count, zones=3):
    machines = tuple(Machine(f"s{n}", f"z{n % zones}") for n in range(count))
    return State(machines, tuple(m.name for m in machines))


@pytest.mark.parametrize("count, machines", [(3, 1), (4, 1), (5, 1), (5, 2)])
def test_a_majority_survives_any_tolerated_loss_at_any_step(count, machines):
    state_count, violation = explore(initial_state(count), Tolerance(machines))
    assert violation is None and state_count > 1000


def always(*_):
    return True


def adds_incomplete_newcomers(voters, others, tolerance, absence_limits, may_swap):
    """Add newcomers before they hold any data."""
    yield from ((*voters, other) for other in others)


def keeps_draining_voters(voters, others, tolerance, absence_limits, may_swap, original=voter_policy.candidate_sets):
    """Let draining voters keep their votes."""
    staying = [structs.replace(voter, draining=False) for voter in voters]
    return original(tuple(staying), others, tolerance, absence_limits, may_swap)


def never_replaces_voters(voters, others, tolerance, absence_limits, may_swap, original=voter_policy.candidate_sets):
    """Never replace voters by newcomers."""
    return original(voters, [], tolerance, absence_limits, may_swap)


@pytest.mark.parametrize(
    "mutation",
    [
        {"candidate_sets": adds_incomplete_newcomers, "is_safe_step": always},
        {"candidate_sets": keeps_draining_voters},
        {"candidate_sets": never_replaces_voters},
    ],
    ids=["unfilled", "leavers", "newcomers"],
)
def test_a_mutated_policy_loses_the_majority_in_some_state(mutation, monkeypatch):
    for name, replacement in mutation.items():
        monkeypatch.setattr(voter_policy, name, replacement)
    _, violation = explore(initial_state(4), Tolerance(1))
    assert violation is not None


def replicas(zones, **options):
    return [ReplicaView(f"{zone}{n}", zone, f"r{zone}", **options) for n, zone in enumerate(zones)]


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
def test_a_sound_set_keeps_a_majority_after_a_tolerated_loss(zones, tolerance, expected):
    assert tolerates_loss(replicas(zones), tolerance) is expected


def test_a_sound_set_keeps_a_majority_after_every_loss_of_zones():
    for zones in ("abc", "aabbc", "aabbcc", "aabbccd", "abcde", "aabcde"):
        for zones_lost in (1, 2):
            if not tolerates_loss(replicas(zones), Tolerance(0, zones=zones_lost)):
                continue
            for lost in combinations(sorted(set(zones)), zones_lost):
                assert 2 * sum(zone not in lost for zone in zones) > len(zones)


def spread(voters, others, **options):
    return next_voters(replicas(voters), replicas(others), Tolerance(0, zones=1), ABSENCE_LIMITS, **options)


def test_voters_are_added_in_zones_that_keep_the_loss_of_a_zone_tolerated():
    candidates = [ReplicaView(f"{zone}9", zone) for zone in "abc"]
    assert next_voters(replicas("abc"), candidates, Tolerance(0, zones=1), ABSENCE_LIMITS) is None
    assert next_voters(replicas("ab"), candidates, Tolerance(0, zones=1), ABSENCE_LIMITS) == ("a0", "b1", "c9")


def test_surplus_voters_of_a_zone_are_removed_once_another_zone_has_a_voter():
    voters = replicas("aab")
    assert majority_margin(voters, Tolerance(0, zones=1)) < 0
    with_newcomer = next_voters(voters, [ReplicaView("c9", "c")], Tolerance(0, zones=1), ABSENCE_LIMITS)
    assert with_newcomer == ("a0", "a1", "b2", "c9")
    without_surplus = next_voters([*voters, ReplicaView("c9", "c")], [], Tolerance(0, zones=1), ABSENCE_LIMITS)
    assert without_surplus == ("a1", "b2", "c9")


def test_a_newcomer_of_another_zone_does_not_replace_a_lost_voter():
    voters = replicas("abc")
    voters[1] = structs.replace(voters[1], present=False, complete=False, absent_ms=LONG_ABSENT_MS)
    tolerance = Tolerance(0, zones=1)
    assert next_voters(voters, [ReplicaView("a9", "a")], tolerance, ABSENCE_LIMITS) is None
    assert next_voters(voters, [ReplicaView("b9", "b"), ReplicaView("a9", "a")], tolerance, ABSENCE_LIMITS) == (
        "a0",
        "b9",
        "c2",
    )
