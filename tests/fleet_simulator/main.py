"""Play seeded days of a deployment on the users' machines and judge them by the rules."""

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import cappa
from msgspec import Struct, json

from . import play as days
from .kinds import KINDS
from .plants import PLANTS, planted
from .shapes import SHAPES


@cappa.command(name="fleet_simulator", help="Play seeded days of a deployment and judge them.")
class Simulate(Struct, kw_only=True):
    first: Annotated[int, cappa.Arg(long=True, help="first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="how many seeds")] = 20
    shape: Annotated[str, cappa.Arg(long=True, help=f"one of {', '.join(SHAPES)}, or all in turn")] = "three"
    kinds: Annotated[list[str], cappa.Arg(long="--kind", help=f"troubles: {', '.join(KINDS)}; all if not given")] = []
    closing: Annotated[str, cappa.Arg(long=True, help="power, kill, wipe or none; drawn if not given")] = ""
    gap_ms: Annotated[int, cappa.Arg(long=True, help="the longest wait between two troubles")] = 2500
    storm_ms: Annotated[int, cappa.Arg(long=True, help="how long troubles go on")] = 30000
    plant: Annotated[str, cappa.Arg(long=True, help=f"a fault planted in the code: {', '.join(PLANTS)}")] = ""
    workers: Annotated[int, cappa.Arg(long=True)] = 3


def one(job):
    seed, shape, kinds, closing, gap_ms, storm_ms, plant = job
    with planted(plant):
        _, report = days.play(
            seed, SHAPES[shape], kinds or None, storm_ms=storm_ms, gap_ms=gap_ms, closing=closing or None
        )
    return shape, report


def main():
    command = cappa.parse(Simulate)
    shapes = list(SHAPES) if command.shape == "all" else [command.shape]
    if not set(shapes) <= set(SHAPES) or command.plant not in ("", *PLANTS):
        print(f"UnknownWord: {command.shape} {command.plant}", file=sys.stderr)
        return 64
    jobs = [
        (
            seed,
            shapes[seed % len(shapes)],
            command.kinds,
            command.closing,
            command.gap_ms,
            command.storm_ms,
            command.plant,
        )
        for seed in range(command.first, command.first + command.seeds)
    ]
    start_s, rules, tries, acks, backs, odd = time.monotonic(), Counter(), Counter(), Counter(), [], 0
    with ProcessPoolExecutor(command.workers) as pool:
        for shape, report in pool.map(one, jobs):
            rules.update({b.rule for b in report.broken})
            tries.update(report.tries)
            acks.update(report.acks)
            backs.append(report.back_ms)
            odd += bool(report.odd)
            if report.broken or report.odd:
                print(
                    json.encode(
                        {
                            "seed": report.seed,
                            "shape": shape,
                            "broken": report.broken[:6],
                            "odd": report.odd[:3],
                            "served": round(report.served, 3),
                            "trace": report.trace,
                        }
                    ).decode(),
                    flush=True,
                )
    backs.sort()
    print(
        json.encode(
            {
                "seeds": len(jobs),
                "broken_seeds": dict(rules),
                "odd_seeds": odd,
                "tries": {str(k): n for k, n in tries.items()},
                "acks": dict(acks),
                "back_ms": {"median": backs[len(backs) // 2], "most": backs[-1]},
                "seconds": round(time.monotonic() - start_s, 1),
            }
        ).decode()
    )
    return 1 if rules else 0


if __name__ == "__main__":
    sys.exit(main())
