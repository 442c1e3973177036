"""Play one storm of the core simulation and judge it."""

from random import Random

from msgspec import Struct

from frostpost.virtual_synchrony.bounds import Bounds

from . import world as worlds
from .core_faults import FAULTS, heal
from .evs_checks import Broken, evs
from .ledger_checks import ledger
from .storm import BUDGET, Work, serves, storm, tap, watch, work

STORM_MS = 14000
BACK_MS = 12000


class Report(Struct):
    """What a storm showed."""

    seed: int
    broken: list
    back_ms: float
    asked: int
    decided: int
    sent: int
    installs: int
    trace: list


def back(world):
    """Tell whether all nodes are in one configuration and serve."""
    nodes = list(world.nodes.values())
    ids = {n.core.synchrony.configuration.id for n in nodes if n.core}
    return len(ids) == 1 and all(serves(world, n) for n in nodes)


TIGHT = Bounds(rewrite_entries=60, piece_bytes=1500, batch=16)


def play(
    seed, edges=2, storages=3, cores=2, kinds=None, storm_ms=STORM_MS, bounds=None, prepare=None, gap_ms=2500, voters=0
):
    """Play one seeded storm; return (world, report)."""
    world = worlds.make(seed, edges, storages, cores, bounds or (TIGHT if seed % 2 else None), voters)
    random = Random(seed * 7919 + 1)
    state = Work(random, until_ms=storm_ms + 3000)
    world.tap = tap(state)
    if prepare:
        prepare(world)
    worlds.at(world, 1500, "call", work, state)
    worlds.at(world, 1500, "call", watch, state)
    storm(world, random, storm_ms, sorted(kinds or FAULTS), gap_ms)
    worlds.run(world, storm_ms)
    heal(world)
    healed_ms, back_ms = world.now_ms, -1.0
    while world.now_ms < healed_ms + BACK_MS:
        worlds.run(world, world.now_ms + 100)
        if back(world):
            back_ms = world.now_ms - healed_ms
            break
    worlds.run(world, max(world.now_ms, state.until_ms) + 1500)
    broken = [*state.breaks[:3], *evs(world.history, world.ordered), *ledger(world, BUDGET)]
    if back_ms < 0:
        broken.append(Broken("back", f"not served again {BACK_MS} ms after the healing"))
    installs = sum(n.core.synchrony.counts.get("installs", 0) for n in world.nodes.values() if n.core)
    return world, Report(seed, broken, back_ms, state.asked, state.decided, world.sent, installs, world.trace)
