"""Random walks of the model checker, and how a run that breaks a rule is made shorter."""

import time
from random import Random

from msgspec import structs

from .explore_enabled_moves import KINDS, OPTIONS, options
from .explore_move_types import Next
from .explore_search import Figures, Found, begin, compact, notable, progresses
from .explore_transitions import kind_of, make

RATES = (0.03, 0.1, 0.3)
KIND_RATIO = 0.6
MANY = 1000


def walk_at_random(scenario, seeds, moves, most_seconds=1e9):
    """Walks of so many moves, one for each seed. -> (Found or None, Figures).

    Each seed draws which kinds of moves it makes and how often (swarm), since a fault that needs many moves of one kind
    is rare where all kinds are mixed.
    """
    started_s, figures = time.monotonic(), Figures()
    free = structs.replace(scenario, budget={kind: MANY for kind in scenario.budget})
    for seed in seeds:
        found = walk(free, seed, moves, figures)
        figures.seconds = round(time.monotonic() - started_s, 1)
        if found:
            return shortened(found), figures
        if figures.seconds > most_seconds:
            figures.complete = False
            break
    return None, figures


def walk(scenario, seed, moves, figures):
    """One walk."""
    random = Random(seed)
    kinds = [kind for kind in KINDS if kind in scenario.budget and random.random() < KIND_RATIO]
    rate = random.choice(RATES)
    if scenario.timed:
        scenario = structs.replace(scenario, slow_heartbeats=random.random() < 0.5)
    world, trail, nexts, deviations = begin(scenario), (), 0, 0
    for _ in range(moves):
        move = draw(world, random, kinds) if random.random() < rate and notable(world) else None
        if move is None:
            world, nexts = make(world, Next()), nexts + 1
        else:
            world, trail, nexts = make(world, move), (*compact(trail, nexts), move), 0
            deviations += 1
        figures.steps += 1
        figures.states += 1
        if world.broken:
            break
    figures.depth = max(figures.depth, moves)
    figures.deviations = max(figures.deviations, deviations)
    figures.quiet += 1
    broken = world.broken or progresses(world, set())
    return Found(scenario, compact(trail, nexts), tuple(broken)) if broken else None


def draw(world, random, kinds):
    """One of the moves that are possible: first its kind, then the move."""
    possible = {kind: found for kind in kinds if (found := options(world, (kind,)))}
    return random.choice(possible[random.choice(list(possible))]) if possible else None


def replayed(scenario, moves, strict=False):
    """What a run breaks: the first broken rules on its way, or progress after it.

    strict: a run with a move that its world doesn't allow breaks nothing.
    """
    world = begin(scenario)
    for move in moves:
        if strict and not allowed(world, move):
            return ()
        for one in [Next()] * move.times if isinstance(move, Next) else [move]:
            world = make(world, one)
            if world.broken:
                return tuple(world.broken)
    return tuple(progresses(world, set()))


def allowed(world, move):
    """Whether a move is among those that its world offers."""
    return isinstance(move, Next) or move in OPTIONS[kind_of(move)](world)


def rules(broken):
    """The names of broken rules."""
    return {b.rule for b in broken}


def shortened(found):
    """The same fault by fewer moves: moves are left out and rows of `Next` cut as long as a rule still breaks."""
    wanted, moves = rules(found.broken), list(found.moves)
    tried = True
    while tried:
        tried = False
        for shorter in shorter_runs(moves):
            broken = replayed(found.scenario, shorter, strict=True)
            if wanted & rules(broken):
                moves, tried = shorter, True
                found = Found(found.scenario, tuple(moves), broken)
                break
    return found


def shorter_runs(moves):
    """Runs with one part less: halves first, then single moves, then rows of `Next` cut by half and by one."""
    many = len(moves)
    size = many // 2
    while size >= 1:
        for at in range(many - size, -1, -size):
            yield joined(moves[:at] + moves[at + size :])
        size //= 2
    for at, move in enumerate(moves):
        if isinstance(move, Next) and move.times > 1:
            for times in {move.times // 2, move.times - 1}:
                yield moves[:at] + [Next(times)] + moves[at + 1 :]


def joined(moves):
    """Rows of `Next` that meet become one."""
    found = []
    for move in moves:
        if found and isinstance(move, Next) and isinstance(found[-1], Next):
            found[-1] = Next(found[-1].times + move.times)
        else:
            found.append(move)
    return found
