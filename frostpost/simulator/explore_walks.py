"""Random walks of the model checker, replay of traces, and shrinking of counterexamples."""

import time
from random import Random

from msgspec import structs

from .explore_enabled_moves import KINDS, MOVES_BY_KIND, enabled_moves
from .explore_move_types import Next
from .explore_search import (
    Counterexample,
    Statistics,
    add_next,
    initial_world,
    is_branch_point,
    progress_violations,
)
from .explore_transitions import apply_move, kind_of

DEVIATION_RATES = (0.03, 0.1, 0.3)
KIND_PROBABILITY = 0.6
UNLIMITED_MOVES = 1000


def random_walks(scenario, seeds, moves, most_seconds=1e9):
    """Walk randomly for `moves` moves with each seed; return (Counterexample or None, Statistics).

    Each seed draws the kinds of moves and their rate (swarm testing), since faults that need many moves of one kind are
    rarely found when all kinds are mixed.
    """
    started_s, statistics = time.monotonic(), Statistics()
    unlimited = structs.replace(scenario, budget={kind: UNLIMITED_MOVES for kind in scenario.budget})
    for seed in seeds:
        counterexample = random_walk(unlimited, seed, moves, statistics)
        statistics.seconds = round(time.monotonic() - started_s, 1)
        if counterexample:
            return shrink(counterexample), statistics
        if statistics.seconds > most_seconds:
            statistics.complete = False
            break
    return None, statistics


def random_walk(scenario, seed, length, statistics):
    """Walk randomly for `length` moves; return a Counterexample or None."""
    random = Random(seed)
    kinds = [kind for kind in KINDS if kind in scenario.budget and random.random() < KIND_PROBABILITY]
    rate = random.choice(DEVIATION_RATES)
    if scenario.timed:
        scenario = structs.replace(scenario, slow_heartbeats=random.random() < 0.5)
    world, moves, next_count, deviations = initial_world(scenario), (), 0, 0
    for _ in range(length):
        move = draw_move(world, random, kinds) if random.random() < rate and is_branch_point(world) else None
        if move is None:
            world, next_count = apply_move(world, Next()), next_count + 1
        else:
            world, moves, next_count = apply_move(world, move), (*add_next(moves, next_count), move), 0
            deviations += 1
        statistics.steps += 1
        statistics.states += 1
        if world.violations:
            break
    statistics.depth = max(statistics.depth, length)
    statistics.deviations = max(statistics.deviations, deviations)
    statistics.quiet += 1
    violations = world.violations or progress_violations(world, set())
    return Counterexample(scenario, add_next(moves, next_count), tuple(violations)) if violations else None


def draw_move(world, random, kinds):
    """Draw an enabled move, first its kind and then the move; return None if there is none."""
    moves_by_kind = {kind: moves for kind in kinds if (moves := enabled_moves(world, (kind,)))}
    return random.choice(moves_by_kind[random.choice(list(moves_by_kind))]) if moves_by_kind else None


def replay_moves(scenario, moves, strict=False):
    """Return the first violations in a run, or those of the progress check after it.

    strict: return no violations if the run contains a move that is not enabled.
    """
    world = initial_world(scenario)
    for move in moves:
        if strict and not is_enabled(world, move):
            return ()
        for single_move in [Next()] * move.times if isinstance(move, Next) else [move]:
            world = apply_move(world, single_move)
            if world.violations:
                return tuple(world.violations)
    return tuple(progress_violations(world, set()))


def is_enabled(world, move):
    """Return whether a move is enabled in a world, regardless of the budget."""
    return isinstance(move, Next) or move in MOVES_BY_KIND[kind_of(move)](world)


def violated_rules(violations):
    """Return the names of the violated invariants."""
    return {violation.rule for violation in violations}


def shrink(counterexample):
    """Return a shorter counterexample for the same rules.

    Moves are removed and repetitions of `Next` reduced as long as one of the rules is still violated.
    """
    rules, moves = violated_rules(counterexample.broken), list(counterexample.moves)
    shortened = True
    while shortened:
        shortened = False
        for candidate in shrink_candidates(moves):
            violations = replay_moves(counterexample.scenario, candidate, strict=True)
            if rules & violated_rules(violations):
                moves, shortened = candidate, True
                counterexample = Counterexample(counterexample.scenario, tuple(moves), violations)
                break
    return counterexample


def shrink_candidates(moves):
    """Yield shorter runs: without a half, down to without one move, then with fewer repetitions of one `Next`."""
    count = len(moves)
    size = count // 2
    while size >= 1:
        for start in range(count - size, -1, -size):
            yield merge_next(moves[:start] + moves[start + size :])
        size //= 2
    for position, move in enumerate(moves):
        if isinstance(move, Next) and move.times > 1:
            for times in {move.times // 2, move.times - 1}:
                yield moves[:position] + [Next(times)] + moves[position + 1 :]


def merge_next(moves):
    """Return the moves with adjacent `Next` merged."""
    merged = []
    for move in moves:
        if merged and isinstance(move, Next) and isinstance(merged[-1], Next):
            merged[-1] = Next(merged[-1].times + move.times)
        else:
            merged.append(move)
    return merged
