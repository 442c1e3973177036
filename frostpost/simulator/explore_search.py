"""Walks of the model checker: breadth-first by the number of deviations, and at random.

By default the queue is handled in order (`Next`). Everything else that may happen is a deviation. All runs with few
deviations are walked before any with more, so the first run found that breaks a rule has the fewest.
"""

import time

from msgspec import Struct

from . import explore_checks as checks
from .explore_enabled_moves import QUIET, options
from .explore_hash import OLD_MS, fingerprint
from .explore_move_types import Ask, Heal, Move, Next, Propose, Restart, Thaw
from .explore_state import Replica, Scenario, World, replica_names
from .explore_steps import BOUNDS, greet, start
from .explore_transitions import make

CALM_ROUNDS = 24
CALM_TICKS = 150
CHECK_MS = 500
HORIZON_MS = 5000
LONGEST_RUN = 3000


class Found(Struct, frozen=True):
    """A run that broke rules, for a replay: scenario, the moves from its first world on, and what they break."""

    scenario: Scenario
    moves: tuple[Move, ...]
    broken: tuple[checks.Broken, ...]


class Figures(Struct):
    """What a walk covered. depth: most moves in one run, `Next` counted each. deviations: most in one run."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    deviations: int = 0
    quiet: int = 0
    seconds: float = 0.0
    complete: bool = True
    layers: list[int] = []


def begin(scenario):
    """The first world of a scenario."""
    names = replica_names(scenario)
    world = World(scenario, {name: Replica(name) for name in names})
    for name in names:
        world.owned.add(name)
        start(world, world.replicas[name])
    for name in names:
        greet(world, name)
    if scenario.founded:
        world = open_primary(world)
    world.spent, world.owned, world.broken = {}, set(), list(world.broken)
    return world


def open_primary(world):
    """Let the replicas open their first primary without any trouble."""
    if not world.scenario.timed:
        world = make(world, Propose("s1", tuple(world.replicas)))
    for _ in range(LONGEST_RUN):
        if checks.serves(world) and not world.queue:
            break
        world = make(world, Next())
    aged_ms = world.now_ms + OLD_MS + BOUNDS.lease_ms
    while world.scenario.timed and (world.now_ms < aged_ms or world.queue):
        world = make(world, Next())
    if not checks.serves(world):
        checks.say(world, "progress", "the first primary was not opened")
    return world


def calm(world):
    """End all faults. -> worlds one after another until all serve; none serves at the end if that takes too long."""
    world = make(world, Heal())
    for replica in list(world.replicas.values()):
        if replica.frozen:
            world = make(world, Thaw(replica.name))
        if replica.core is None:
            world = make(world, Restart(replica.name))
    yield world
    rounds = 0
    while (
        not checks.serves(world) and not world.broken and rounds < (CALM_TICKS if world.scenario.timed else CALM_ROUNDS)
    ):
        if not world.queue:
            rounds += 1
            world = helped(world, rounds)
        world = make(world, Next())
        yield world


def helped(world, rounds):
    """What a failure detector and the ledger's ticks do; in rounds in which nothing is done the timers fire."""
    if rounds % 4 == 1 and not world.scenario.timed and not agreed(world):
        return make(world, Propose(min(world.replicas), tuple(sorted(world.replicas))))
    if rounds % 4 == 3:
        return ledger_tick(world)
    return world


def ledger_tick(world):
    """An operation asked for by the sequencer, as the holder of the ledger's ticks does every half second."""
    for replica in world.replicas.values():
        synchrony = replica.synchrony
        if synchrony.configuration.sequencer == replica.name and synchrony.primary.opened and not synchrony.outbox:
            return make(world, Ask(replica.name))
    return world


def agreed(world):
    """Whether all replicas stand in one configuration of all, with no other under way."""
    ids = {r.synchrony.configuration for r in world.replicas.values()}
    busy = any(r.synchrony.recovery or r.synchrony.proposal for r in world.replicas.values())
    return len(ids) == 1 and len(next(iter(ids)).members) == len(world.replicas) and not busy


def progresses(world, known):
    """Whether all serve after the end of all faults; `known` holds hashes of worlds after which they do."""
    passed = []
    for later in calm(world):
        world = later
        mark = fingerprint(world, False)
        if mark in known:
            break
        passed.append(mark)
    else:
        if world.broken:
            return list(world.broken)
        if not checks.serves(world):
            return [checks.Broken("progress", "not all replicas serve though faults have ended")]
    known.update(passed)
    return []


class Walk(Struct):
    """seen: hashes of worlds with what was spent; bare: without. came: hash -> (the one before, the move)."""

    figures: Figures
    most: int
    seen: set[bytes] = set()
    bare: set[bytes] = set()
    came: dict = {}
    known: set[bytes] = set()
    found: Found | None = None


def breadth_first(scenario, deviations, most_states=10_000_000, most_seconds=1e9, check_progress=True):
    """Walk all runs with up to so many deviations. -> (Found or None, Figures)."""
    started_s = time.monotonic()
    walk = Walk(Figures(), deviations)
    starts = iter([(begin(scenario), ())])
    for spent in range(deviations + 1):
        reached, before = [], walk.figures.states
        walk.figures.deviations = spent
        for world, trail in starts:
            run(walk, world, trail, spent, reached, check_progress)
            late = time.monotonic() - started_s > most_seconds
            if walk.found or walk.figures.states > most_states or late:
                walk.figures.complete = walk.found is not None
                break
        walk.figures.layers.append(walk.figures.states - before)
        if walk.found or not walk.figures.complete:
            break
        starts = deviated(walk, reached)
    walk.figures.seconds = round(time.monotonic() - started_s, 1)
    return walk.found, walk.figures


def deviated(walk, reached):
    """All worlds that one more deviation leads to, made as they are asked for, since they are many."""
    for world, trail in reached:
        for move in options(world):
            walk.figures.steps += 1
            yield make(world, move), (*trail, move)


def run(walk, world, trail, spent, reached, check_progress):
    """Handle the queue to its end and on until nothing changes, noting each world from which the next layer deviates.

    With a clock it ends at a horizon: what waits for a process that stands still grows with each heartbeat.
    """
    last, until_ms = spent == walk.most, world.now_ms + HORIZON_MS
    nexts = 0
    while True:
        if not fresh(walk, world, last):
            return
        walk.figures.states += 1
        walk.figures.depth = max(walk.figures.depth, length(trail) + nexts)
        if world.broken:
            walk.found = Found(world.scenario, compact(trail, nexts), tuple(world.broken))
            return
        if not last and notable(world):
            reached.append((world, compact(trail, nexts)))
        if not world.queue and not world.late and world.now_ms % CHECK_MS == 0:
            walk.figures.quiet += 1
            broken = progresses(world, walk.known) if check_progress else []
            if broken:
                walk.found = Found(world.scenario, compact(trail, nexts), tuple(broken))
                return
        if world.now_ms >= until_ms:
            return
        world = make(world, Next())
        walk.figures.steps += 1
        nexts += 1


def notable(world):
    """Whether moves are tried here: not between two heartbeats."""
    return not world.queue or world.queue[0].label[2] not in QUIET


def fresh(walk, world, last):
    """Whether a world wasn't reached before with as many moves left."""
    bare = fingerprint(world, False)
    if last:
        if bare in walk.bare:
            return False
    else:
        mark = fingerprint(world)
        if mark in walk.seen:
            return False
        walk.seen.add(mark)
    walk.bare.add(bare)
    return True


def compact(trail, nexts):
    """A trail with that many `Next` at its end."""
    return (*trail, Next(nexts)) if nexts else trail


def length(trail):
    """Moves of a trail, `Next` counted each."""
    return sum(move.times if isinstance(move, Next) else 1 for move in trail)
