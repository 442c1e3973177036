from random import Random

from msgspec import Struct

from frostpost.virtual_synchrony.state import Bounds
from . import world as worlds
from .blows import FAULTS, heal
from .checks import Broken, evs
from .ledger import ledger
from .storm import BUDGET, Work, serves, storm, tap, watch, work

STORM_MS = 14000
BACK_MS = 12000


class Report(Struct):
    seed: int
    broken: list
    backMs: float
    asked: int
    decided: int
    sent: int
    installs: int
    trace: list


def back(world):
    nodes = list(world.nodes.values())
    ids = {n.core.hedge.configuration.id for n in nodes if n.core}
    return len(ids) == 1 and all(serves(world, n) for n in nodes)


TIGHT = Bounds(rewriteEntries=60, pieceBytes=1500, batch=16)


def play(
    seed, edges=2, storages=3, cores=2, kinds=None, stormMs=STORM_MS, bounds=None, prepare=None, gapMs=2500, voters=0
):
    world = worlds.make(seed, edges, storages, cores, bounds or (TIGHT if seed % 2 else None), voters)
    random = Random(seed * 7919 + 1)
    state = Work(random, untilMs=stormMs + 3000)
    world.tap = tap(state)
    if prepare:
        prepare(world)
    worlds.at(world, 1500, "call", work, state)
    worlds.at(world, 1500, "call", watch, state)
    storm(world, random, stormMs, sorted(kinds or FAULTS), gapMs)
    worlds.run(world, stormMs)
    heal(world)
    healedMs, backMs = world.nowMs, -1.0
    while world.nowMs < healedMs + BACK_MS:
        worlds.run(world, world.nowMs + 100)
        if back(world):
            backMs = world.nowMs - healedMs
            break
    worlds.run(world, max(world.nowMs, state.untilMs) + 1500)
    broken = [*state.breaks[:3], *evs(world.history, world.ordered), *ledger(world, BUDGET)]
    if backMs < 0:
        broken.append(Broken("back", f"not served again {BACK_MS} ms after the healing"))
    installs = sum(n.core.hedge.counts.get("installs", 0) for n in world.nodes.values() if n.core)
    return world, Report(seed, broken, backMs, state.asked, state.decided, world.sent, installs, world.trace)
