"""Breadth-first search of the model checker, by the number of deviations from the default schedule.

The default schedule handles the queue in order (`Next`); every other move is a deviation. All runs with fewer
deviations are searched before any with more, so the first counterexample found has the fewest.
"""

import time

from msgspec import Struct

from . import explore_checks as checks
from .explore_enabled_moves import HEARTBEAT_KINDS, enabled_moves
from .explore_hash import MAX_AGE_MS, fingerprint
from .explore_move_types import Move, Next, Propose, Restart, RestoreLinks, Submit, Thaw
from .explore_state import Replica, Scenario, World, replica_names
from .explore_steps import BOUNDS, exchange_discovery, start_replica
from .explore_transitions import apply_move

MAX_RECOVERY_ROUNDS = 24
MAX_RECOVERY_TICKS = 150
PROGRESS_CHECK_INTERVAL_MS = 500
HORIZON_MS = 5000
MAX_OPENING_MOVES = 3000


class Counterexample(Struct, frozen=True):
    """A run that violates invariants, for replay. moves: from the scenario's initial world on."""

    scenario: Scenario
    moves: tuple[Move, ...]
    broken: tuple[checks.Violation, ...]


class Statistics(Struct):
    """Statistics of a search.

    depth: most moves in one run, each repetition of `Next` counted. deviations: most in one run. quiet: number of
    progress checks. complete: whether the search ended within its limits. layers: new states by number of deviations.
    """

    states: int = 0
    steps: int = 0
    depth: int = 0
    deviations: int = 0
    quiet: int = 0
    seconds: float = 0.0
    complete: bool = True
    layers: list[int] = []


def initial_world(scenario):
    """Return the first world of a scenario."""
    names = replica_names(scenario)
    world = World(scenario, {name: Replica(name) for name in names})
    for name in names:
        world.copied_replicas.add(name)
        start_replica(world, world.replicas[name])
    for name in names:
        exchange_discovery(world, name)
    if scenario.founded:
        world = open_primary(world)
    world.used_budget, world.copied_replicas, world.violations = {}, set(), list(world.violations)
    return world


def open_primary(world):
    """Return the world after the replicas have opened their first primary on the default schedule."""
    if not world.scenario.timed:
        world = apply_move(world, Propose("s1", tuple(world.replicas)))
    for _ in range(MAX_OPENING_MOVES):
        if checks.all_replicas_serve(world) and not world.queue:
            break
        world = apply_move(world, Next())
    start_ms = world.now_ms + MAX_AGE_MS + BOUNDS.lease_ms
    while world.scenario.timed and (world.now_ms < start_ms or world.queue):
        world = apply_move(world, Next())
    if not checks.all_replicas_serve(world):
        checks.add_violation(world, "progress", "the first primary was not opened")
    return world


def recovery_worlds(world):
    """End all faults and yield the following worlds until all replicas serve or the limit of rounds is reached."""
    world = apply_move(world, RestoreLinks())
    for replica in list(world.replicas.values()):
        if replica.frozen:
            world = apply_move(world, Thaw(replica.name))
        if replica.core is None:
            world = apply_move(world, Restart(replica.name))
    yield world
    rounds = 0
    while (
        not checks.all_replicas_serve(world)
        and not world.violations
        and rounds < (MAX_RECOVERY_TICKS if world.scenario.timed else MAX_RECOVERY_ROUNDS)
    ):
        if not world.queue:
            rounds += 1
            world = apply_recovery_action(world, rounds)
        world = apply_move(world, Next())
        yield world


def apply_recovery_action(world, rounds):
    """Act for the failure detector and the ledger's ticks in alternate odd rounds; even rounds only run the timers."""
    if rounds % 4 == 1 and not world.scenario.timed and not is_membership_complete(world):
        return apply_move(world, Propose(min(world.replicas), tuple(sorted(world.replicas))))
    if rounds % 4 == 3:
        return submit_at_sequencer(world)
    return world


def submit_at_sequencer(world):
    """Submit an operation at the sequencer, in place of the ledger's periodic ticks."""
    for replica in world.replicas.values():
        synchrony = replica.synchrony
        if synchrony.configuration.sequencer == replica.name and synchrony.primary.opened and not synchrony.outbox:
            return apply_move(world, Submit(replica.name))
    return world


def is_membership_complete(world):
    """Return whether all replicas are in one configuration of all replicas, with no change in progress."""
    configurations = {r.synchrony.configuration for r in world.replicas.values()}
    changing = any(r.synchrony.recovery or r.synchrony.proposal for r in world.replicas.values())
    return len(configurations) == 1 and len(next(iter(configurations)).members) == len(world.replicas) and not changing


def progress_violations(world, progressing):
    """Return a violation unless all replicas serve once faults have ended. progressing: hashes of worlds that pass."""
    visited = []
    for later_world in recovery_worlds(world):
        world = later_world
        digest = fingerprint(world, False)
        if digest in progressing:
            break
        visited.append(digest)
    else:
        if world.violations:
            return list(world.violations)
        if not checks.all_replicas_serve(world):
            return [checks.Violation("progress", "not all replicas serve though faults have ended")]
    progressing.update(visited)
    return []


class Search(Struct):
    """State of a breadth-first search.

    visited_with_budget, visited: hashes of worlds reached, with and without the budget used. progressing: hashes of
    worlds that pass the progress check.
    """

    statistics: Statistics
    max_deviations: int
    visited_with_budget: set[bytes] = set()
    visited: set[bytes] = set()
    predecessors: dict = {}
    progressing: set[bytes] = set()
    counterexample: Counterexample | None = None


def breadth_first(scenario, deviations, most_states=10_000_000, most_seconds=1e9, check_progress=True):
    """Search all runs with at most this many deviations; return (Counterexample or None, Statistics)."""
    started_s = time.monotonic()
    search = Search(Statistics(), deviations)
    starts = iter([(initial_world(scenario), ())])
    for layer in range(deviations + 1):
        branch_points, before = [], search.statistics.states
        search.statistics.deviations = layer
        for world, moves in starts:
            search_run(search, world, moves, layer, branch_points, check_progress)
            timed_out = time.monotonic() - started_s > most_seconds
            if search.counterexample or search.statistics.states > most_states or timed_out:
                search.statistics.complete = search.counterexample is not None
                break
        search.statistics.layers.append(search.statistics.states - before)
        if search.counterexample or not search.statistics.complete:
            break
        starts = deviating_worlds(search, branch_points)
    search.statistics.seconds = round(time.monotonic() - started_s, 1)
    return search.counterexample, search.statistics


def deviating_worlds(search, branch_points):
    """Yield the worlds that one more deviation leads to; generated lazily to bound memory use."""
    for world, moves in branch_points:
        for move in enabled_moves(world):
            search.statistics.steps += 1
            yield apply_move(world, move), (*moves, move)


def search_run(search, world, moves, layer, branch_points, check_progress):
    """Follow the default schedule until it reaches a known world, collecting the worlds from which to deviate.

    With a clock the run ends at a horizon, since heartbeats delayed for a frozen process make each world a new one.
    """
    is_last_layer, end_ms = layer == search.max_deviations, world.now_ms + HORIZON_MS
    next_count = 0
    while True:
        if not add_if_unvisited(search, world, is_last_layer):
            return
        search.statistics.states += 1
        search.statistics.depth = max(search.statistics.depth, move_count(moves) + next_count)
        if world.violations:
            search.counterexample = Counterexample(world.scenario, add_next(moves, next_count), tuple(world.violations))
            return
        if not is_last_layer and is_branch_point(world):
            branch_points.append((world, add_next(moves, next_count)))
        if not world.queue and not world.delayed and world.now_ms % PROGRESS_CHECK_INTERVAL_MS == 0:
            search.statistics.quiet += 1
            violations = progress_violations(world, search.progressing) if check_progress else []
            if violations:
                search.counterexample = Counterexample(world.scenario, add_next(moves, next_count), tuple(violations))
                return
        if world.now_ms >= end_ms:
            return
        world = apply_move(world, Next())
        search.statistics.steps += 1
        next_count += 1


def is_branch_point(world):
    """Return whether deviations are tried in this world: not ahead of a heartbeat."""
    return not world.queue or world.queue[0].label[2] not in HEARTBEAT_KINDS


def add_if_unvisited(search, world, is_last_layer):
    """Return whether a world was not reached before with as many moves left, and record it."""
    digest = fingerprint(world, False)
    if is_last_layer:
        if digest in search.visited:
            return False
    else:
        digest_with_budget = fingerprint(world)
        if digest_with_budget in search.visited_with_budget:
            return False
        search.visited_with_budget.add(digest_with_budget)
    search.visited.add(digest)
    return True


def add_next(moves, next_count):
    """Return moves followed by `Next` repeated that many times."""
    return (*moves, Next(next_count)) if next_count else moves


def move_count(moves):
    """Return the number of moves, each repetition of `Next` counted."""
    return sum(move.times if isinstance(move, Next) else 1 for move in moves)
