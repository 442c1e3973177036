"""Command line of the simulation."""

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import cappa
from msgspec import Struct, json

from . import whole
from .blows import FAULTS
from .plants import PLANTS, planted
from .play import play

SHAPES = {"quick": (2, 3, 2), "full": (8, 3, 5), "voters": (2, 5, 2)}


def one(job):
    """Play one storm of the core simulation."""
    seed, shape, kinds, gap_ms, plant = job
    edges, storages, cores = SHAPES[shape]
    with planted(plant):
        _, report = play(seed, edges, storages, cores, kinds or None, gap_ms=gap_ms, voters=3)
    return report


@cappa.command(name="simulator", help="Play seeded storms against the daemons' core under a virtual clock.")
class Weather(Struct, kw_only=True):
    """Arguments of simulate."""

    first: Annotated[int, cappa.Arg(long=True, help="first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="how many seeds")] = 100
    shape: Annotated[str, cappa.Arg(long=True, help=f"one of {', '.join(SHAPES)}")] = "quick"
    kinds: Annotated[list[str], cappa.Arg(long="--kind", help=f"faults: {', '.join(FAULTS)}; all if not given")] = []
    gap_ms: Annotated[int, cappa.Arg(long="--gap-ms", help="the longest wait between two faults")] = 2500
    plant: Annotated[str, cappa.Arg(long=True, help=f"a fault planted in the code: {', '.join(PLANTS)}")] = ""
    whole: Annotated[bool, cappa.Arg(long=True, help="the whole path: doors, callers, runners and list as well")] = (
        False
    )
    planned: Annotated[bool, cappa.Arg(long=True, help="with --whole: planned work only, nothing may be dropped")] = (
        False
    )
    workers: Annotated[int, cappa.Arg(long=True)] = 8


def one_whole(job):
    """Play one storm of the whole-path simulation."""
    seed, shape, planned, gap_ms, kinds = job
    return whole.play(seed, *SHAPES[shape], kinds=kinds or None, planned=planned, gap_ms=gap_ms)[1]


def sweep_whole(command):
    """Play many storms of the whole-path simulation and print a summary."""
    jobs = [
        (s, command.shape, command.planned, min(command.gap_ms, 1800), command.kinds)
        for s in range(command.first, command.first + command.seeds)
    ]
    start_s, broken, backs, faults, tally = time.monotonic(), Counter(), [], 0, Counter()
    with ProcessPoolExecutor(command.workers) as pool:
        for report in pool.map(one_whole, jobs):
            backs.append(report.back_ms)
            faults += len(report.trace)
            tally.update(report.callers["results"])
            broken.update({b.never for b in report.broken})
            if report.broken:
                print(json.encode(report).decode()[:2500], flush=True)
    backs.sort()
    print(
        json.encode(
            {
                "seeds": len(jobs),
                "faults": faults,
                "broken_seeds": dict(broken),
                "results": dict(tally.most_common()),
                "back_ms": {"median": backs[len(backs) // 2], "most": backs[-1]},
                "seconds": round(time.monotonic() - start_s, 1),
            }
        ).decode()
    )
    return 1 if broken else 0


def main():
    """Run the command line; returns the exit status."""
    command = cappa.parse(Weather)
    if command.whole and command.shape in SHAPES and set(command.kinds) <= set(whole.ALL):
        return sweep_whole(command)
    unknown = [k for k in command.kinds if k not in FAULTS]
    if unknown or command.shape not in SHAPES or command.plant not in ("", *PLANTS):
        print(f"UnknownWord: {unknown or command.shape} {command.plant}", file=sys.stderr)
        return 64
    jobs = [
        (s, command.shape, command.kinds, command.gap_ms, command.plant)
        for s in range(command.first, command.first + command.seeds)
    ]
    start_s, broken, backs, totals = time.monotonic(), Counter(), [], Counter()
    with ProcessPoolExecutor(command.workers) as pool:
        for report in pool.map(one, jobs, chunksize=4):
            backs.append(report.back_ms)
            totals.update(
                asked=report.asked,
                decided=report.decided,
                sent=report.sent,
                installs=report.installs,
                faults=len(report.trace),
            )
            broken.update({b.spec for b in report.broken})
            if report.broken:
                print(json.encode(report).decode()[:1500])
    backs.sort()
    print(
        json.encode(
            {
                "seeds": len(jobs),
                "broken_seeds": dict(broken),
                "back_ms": {"median": backs[len(backs) // 2], "most": backs[-1]},
                **totals,
                "seconds": round(time.monotonic() - start_s, 1),
            }
        ).decode()
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
