"""Records the shortest trace of a node that shows a planted fault, for use as a regression test."""

import os
import sys
from typing import Annotated

import cappa
from msgspec import Struct

from . import traces
from .plants import PLANTS, planted
from .play import play


@cappa.command(name="recording", help="Record the shortest trace of a node that shows a planted fault.")
class Recording(Struct, kw_only=True):
    """Arguments of the command."""

    plant: Annotated[str, cappa.Arg(help=f"one of {', '.join(PLANTS)}")]
    seeds: Annotated[
        list[int], cappa.Arg(long="--seed", help="seed of a run in which the fault shows; may be repeated")
    ]
    gap_ms: Annotated[int, cappa.Arg(long="--gap-ms")] = 500
    folder: Annotated[str, cappa.Arg(long=True)] = "tests/traces"


def recorded_traces(plant, seed, gap_ms):
    """Yield the traces of all nodes in a simulated run with a planted fault."""

    def simulate():
        with planted(plant):
            return play(seed, gap_ms=gap_ms)

    for name in ("s1", "s2", "s3", "c1", "c2", "e1"):
        yield from traces.record_traces(f"{plant} {seed} {name}", name, simulate)


def shows_fault(trace, plant):
    """Return whether a replay of the trace has violations with the planted fault and none without it."""
    with planted(plant):
        violations = list(traces.replay_violations(trace))
    return bool(violations) and not list(traces.replay_violations(trace))


def main():
    """Run the command; return the exit status."""
    command = cappa.parse(Recording)
    if command.plant not in PLANTS:
        print(f"UnknownPlant: {command.plant}", file=sys.stderr)
        return 64
    candidates = [
        t
        for seed in command.seeds
        for t in recorded_traces(command.plant, seed, command.gap_ms)
        if len(t.inputs) > 5 and shows_fault(t, command.plant)
    ]
    if not candidates:
        print("NoTrace: no recorded trace fails with the planted fault and passes without it", file=sys.stderr)
        return 1
    shortest = min(candidates, key=lambda t: len(t.inputs))
    path = os.path.join(command.folder, f"{command.plant}.trace")
    traces.save(shortest, path)
    print(f"{path}: {shortest.note}, {len(shortest.inputs)} inputs")
    return 0


if __name__ == "__main__":
    sys.exit(main())
