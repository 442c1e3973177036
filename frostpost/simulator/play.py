"""Simulates the daemons' cores under load and random faults, and checks the history."""

from random import Random

from msgspec import Struct

from frostpost.virtual_synchrony.bounds import Bounds

from . import world as worlds
from .core_faults import FAULTS, end_all_faults
from .evs_checks import Violation, find_evs_violations
from .ledger_checks import find_ledger_violations
from .memory_bounds import is_exceeded
from .storm import BUDGET, Load, observer, run_load, schedule_faults, serves, watch_leases

STORM_MS = 14000
RECOVERY_TIMEOUT_MS = 12000


class Report(Struct):
    """The results of one simulation.

    broken: violations. back_ms: time from the end of all faults until all nodes served, or -1. asked, decided: numbers
    of operations. sent: number of messages. installs: number of installed configurations. trace: faults by time.
    """

    seed: int
    broken: list
    back_ms: float
    asked: int
    decided: int
    sent: int
    installs: int
    trace: list


def all_nodes_serve(world):
    """Return whether all nodes are in one configuration and serve."""
    nodes = list(world.nodes.values())
    configuration_ids = {n.core.synchrony.configuration.id for n in nodes if n.core}
    return len(configuration_ids) == 1 and all(serves(world, n) for n in nodes)


# Small bounds make log rewrites, chunked snapshot transfers and full batches frequent.
SMALL_BOUNDS = Bounds(rewrite_entries=60, piece_bytes=1500, batch=16)


def play(
    seed,
    edges=2,
    storages=3,
    cores=2,
    kinds=None,
    storm_ms=STORM_MS,
    bounds=None,
    prepare=None,
    gap_ms=2500,
    voters=0,
    limits=None,
    memory_bytes=0,
):
    """Simulate one seeded run with faults for `storm_ms`, then without; return (world, Report)."""
    bounds = bounds or (SMALL_BOUNDS if seed % 2 else None)
    world = worlds.create_world(seed, edges, storages, cores, bounds, voters, limits)
    world.memory.max_bytes = memory_bytes
    random = Random(seed * 7919 + 1)
    load = Load(random, until_ms=storm_ms + 3000)
    world.on_notification = observer(load)
    if prepare:
        prepare(world)
    worlds.schedule(world, 1500, "call", run_load, load)
    worlds.schedule(world, 1500, "call", watch_leases, load)
    schedule_faults(world, random, storm_ms, sorted(kinds or FAULTS), gap_ms)
    worlds.run(world, storm_ms)
    end_all_faults(world)
    healed_ms, recovery_ms = world.now_ms, -1.0
    while world.now_ms < healed_ms + RECOVERY_TIMEOUT_MS:
        worlds.run(world, world.now_ms + 100)
        if all_nodes_serve(world):
            recovery_ms = world.now_ms - healed_ms
            break
    worlds.run(world, max(world.now_ms, load.until_ms) + 1500)
    violations = [
        *load.violations[:3],
        *find_evs_violations(world.history, world.last_ordinals),
        *find_ledger_violations(world, BUDGET),
    ]
    if is_exceeded(world.memory):
        violations.append(Violation("memory", f"{world.memory.largest_name} used {world.memory.largest_bytes} bytes"))
    if recovery_ms < 0:
        violations.append(Violation("back", f"not served again {RECOVERY_TIMEOUT_MS} ms after the healing"))
    installs = sum(n.core.synchrony.counts.get("installs", 0) for n in world.nodes.values() if n.core)
    return world, Report(
        seed, violations, recovery_ms, load.submitted_count, load.decided_count, world.sent, installs, world.trace
    )
