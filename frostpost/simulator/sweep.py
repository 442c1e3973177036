"""Run many seeds of the simulations in parallel and print a summary."""

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from os import EX_USAGE

from msgspec import json

from . import whole_path
from .core_faults import FAULTS
from .plants import PLANTS, planted
from .play import play

SHAPES = {"quick": (2, 3, 2), "full": (8, 3, 5), "voters": (2, 5, 2)}


def run_core(job):
    """Run one seed of the core simulation; returns its report."""
    seed, shape, kinds, gap_ms, plant = job
    edges, storages, cores = SHAPES[shape]
    with planted(plant):
        _, report = play(seed, edges, storages, cores, kinds or None, gap_ms=gap_ms, voters=3)
    return report


def run_whole_path(job):
    """Run one seed of the whole-path simulation; returns its report."""
    seed, shape, planned, gap_ms, kinds = job
    return whole_path.play(seed, *SHAPES[shape], kinds=kinds or None, planned=planned, gap_ms=gap_ms)[1]


def sweep_whole_path(command):
    """Run many seeds of the whole-path simulation, print failed reports and a summary; returns the exit status."""
    jobs = [
        (seed, command.shape, command.planned, min(command.gap_ms, 1800), command.kinds)
        for seed in range(command.first, command.first + command.seeds)
    ]
    start_s, violations, back_times_ms, fault_count, result_counts = time.monotonic(), Counter(), [], 0, Counter()
    with ProcessPoolExecutor(command.workers) as pool:
        for report in pool.map(run_whole_path, jobs):
            back_times_ms.append(report.back_ms)
            fault_count += len(report.trace)
            result_counts.update(report.callers["results"])
            violations.update({breach.never for breach in report.broken})
            if report.broken:
                print(json.encode(report).decode()[:2500], flush=True)
    back_times_ms.sort()
    print(
        json.encode(
            {
                "seeds": len(jobs),
                "faults": fault_count,
                "broken_seeds": dict(violations),
                "results": dict(result_counts.most_common()),
                "back_ms": {"median": back_times_ms[len(back_times_ms) // 2], "most": back_times_ms[-1]},
                "seconds": round(time.monotonic() - start_s, 1),
            }
        ).decode()
    )
    return 1 if violations else 0


def unknown_values(command):
    """Return a message for each unknown shape, fault or plant among the arguments."""
    faults, plants = (whole_path.ALL_EVENTS, {}) if command.whole else (FAULTS, PLANTS)
    checks = (([command.shape], SHAPES), (command.kinds, faults), ([command.plant] if command.plant else [], plants))
    return [
        f"{value}: known are {', '.join(known)}" for values, known in checks for value in values if value not in known
    ]


def simulate(command):
    """Run the simulation that the arguments select; returns the exit status."""
    unknown = unknown_values(command)
    if unknown:
        print(*(f"UnknownWord: {text}" for text in unknown), sep="\n", file=sys.stderr)
        return EX_USAGE
    return sweep_whole_path(command) if command.whole else sweep_core(command)


def sweep_core(command):
    """Run many seeds of the core simulation, print failed reports and a summary; returns the exit status."""
    jobs = [
        (seed, command.shape, command.kinds, command.gap_ms, command.plant)
        for seed in range(command.first, command.first + command.seeds)
    ]
    start_s, violations, back_times_ms, totals = time.monotonic(), Counter(), [], Counter()
    with ProcessPoolExecutor(command.workers) as pool:
        for report in pool.map(run_core, jobs, chunksize=4):
            back_times_ms.append(report.back_ms)
            totals.update(
                asked=report.asked,
                decided=report.decided,
                sent=report.sent,
                installs=report.installs,
                faults=len(report.trace),
            )
            violations.update({violation.spec for violation in report.broken})
            if report.broken:
                print(json.encode(report).decode()[:1500])
    back_times_ms.sort()
    print(
        json.encode(
            {
                "seeds": len(jobs),
                "broken_seeds": dict(violations),
                "back_ms": {"median": back_times_ms[len(back_times_ms) // 2], "most": back_times_ms[-1]},
                **totals,
                "seconds": round(time.monotonic() - start_s, 1),
            }
        ).decode()
    )
    return 1 if violations else 0
