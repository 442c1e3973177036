"""Play many storms of the simulation in parallel and print a summary."""

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from os import EX_USAGE

from msgspec import json

from . import whole
from .core_faults import FAULTS
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


def unknown_words(command):
    """Return what is unknown in the arguments, with the words that are known; an empty list if all is known."""
    faults, plants = (whole.ALL, {}) if command.whole else (FAULTS, PLANTS)
    checks = (([command.shape], SHAPES), (command.kinds, faults), ([command.plant] if command.plant else [], plants))
    return [f"{word}: known are {', '.join(known)}" for words, known in checks for word in words if word not in known]


def simulate(command):
    """Play the storms that the arguments ask for; returns the exit status."""
    unknown = unknown_words(command)
    if unknown:
        print(*(f"UnknownWord: {text}" for text in unknown), sep="\n", file=sys.stderr)
        return EX_USAGE
    return sweep_whole(command) if command.whole else sweep_core(command)


def sweep_core(command):
    """Play many storms of the core simulation and print a summary."""
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
