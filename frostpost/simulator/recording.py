"""Record the shortest life that shows a planted fault, as a regression trace."""

import os
import sys
from typing import Annotated

import cappa
from msgspec import Struct

from . import traces
from .plants import PLANTS, planted
from .play import play


@cappa.command(name="recording", help="Record the shortest life that breaks its manners under a planted fault.")
class Recording(Struct, kw_only=True):
    """Arguments of the command."""

    plant: Annotated[str, cappa.Arg(help=f"one of {', '.join(PLANTS)}")]
    seeds: Annotated[list[int], cappa.Arg(long="--seed", help="a seed that the plant breaks; may be given again")]
    gap_ms: Annotated[int, cappa.Arg(long="--gap-ms")] = 500
    folder: Annotated[str, cappa.Arg(long=True)] = "tests/traces"


def lives(plant, seed, gap_ms):
    """Yield the recorded lives of a storm under a planted fault."""

    def run():
        with planted(plant):
            return play(seed, gap_ms=gap_ms)

    for name in ("s1", "s2", "s3", "c1", "c2", "e1"):
        yield from traces.record(f"{plant} {seed} {name}", name, run)


def breaks(trace, plant):
    """Tell whether a trace fails under a planted fault and passes without it."""
    with planted(plant):
        bad = list(traces.play(trace))
    return bool(bad) and not list(traces.play(trace))


def main():
    """Run the command line; returns the exit status."""
    command = cappa.parse(Recording)
    if command.plant not in PLANTS:
        print(f"UnknownPlant: {command.plant}", file=sys.stderr)
        return 64
    found = [
        t
        for seed in command.seeds
        for t in lives(command.plant, seed, command.gap_ms)
        if len(t.inputs) > 5 and breaks(t, command.plant)
    ]
    if not found:
        print("NoLife: no recorded life breaks under the plant and holds without it", file=sys.stderr)
        return 1
    best = min(found, key=lambda t: len(t.inputs))
    path = os.path.join(command.folder, f"{command.plant}.trace")
    traces.save(best, path)
    print(f"{path}: {best.note}, {len(best.inputs)} inputs")
    return 0


if __name__ == "__main__":
    sys.exit(main())
