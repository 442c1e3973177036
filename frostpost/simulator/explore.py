"""Model checker for the ordering protocol: breadth-first search, then random walks.

It runs the product's own steps of membership, ordering, recovery, primary, voters and leases, and prints one JSON line
of statistics for each part. A run that violates an invariant is printed as a trace, which `--replay` and the tests
replay.
"""

import sys
from pathlib import Path
from typing import Annotated

import cappa
from msgspec import Struct, json

from .explore_context import exploring
from .explore_enabled_moves import KINDS
from .explore_plants import PLANTS
from .explore_search import Counterexample, Statistics, breadth_first
from .explore_state import Scenario
from .explore_walks import random_walks, replay_moves

UNTIMED_KINDS = tuple(kind for kind in KINDS if kind not in ("freeze", "thaw"))
TIMED_KINDS = tuple(kind for kind in KINDS if kind not in ("propose", "remind"))
EXIT_USAGE = 64


@cappa.command(name="explore", help="Explore the ordering protocol's states and check its invariants in each.")
class Explore(Struct, kw_only=True):
    """Options of the command."""

    replicas: Annotated[int, cappa.Arg(long=True, help="number of replicas")] = 3
    voters: Annotated[int, cappa.Arg(long=True, help="number of initial voters")] = 3
    first_voter: Annotated[int, cappa.Arg(long="--first-voter", help="number of replicas before the first voter")] = 0
    timed: Annotated[bool, cappa.Arg(long=True, help="run clocks, the failure detector and leases")] = False
    unfounded: Annotated[bool, cappa.Arg(long=True, help="start from empty disks, not from an opened primary")] = False
    slow_syncs: Annotated[bool, cappa.Arg(long="--slow-syncs", help="report receipts before the sync")] = False
    deviations: Annotated[
        int, cappa.Arg(long=True, help="most deviations from the default schedule, breadth-first")
    ] = 2
    kinds: Annotated[list[str], cappa.Arg(long="--kind", help=f"of {', '.join(KINDS)}; default: all that apply")] = []
    most_of_a_kind: Annotated[int, cappa.Arg(long="--most", help="most moves of one kind in a run, breadth-first")] = 2
    walks: Annotated[int, cappa.Arg(long=True, help="number of random walks afterwards, each with its own seed")] = 0
    first_seed: Annotated[int, cappa.Arg(long="--first-seed", help="seed of the first walk")] = 1
    moves: Annotated[int, cappa.Arg(long=True, help="moves in a random walk")] = 500
    seconds: Annotated[float, cappa.Arg(long=True, help="time limit for each part")] = 3600.0
    plant: Annotated[str, cappa.Arg(long=True, help=f"a safety rule to switch off: {', '.join(PLANTS)}")] = ""
    trace: Annotated[str, cappa.Arg(long=True, help="file to write the trace of a counterexample to")] = ""
    replay: Annotated[str, cappa.Arg(long=True, help="file with a trace to replay")] = ""


class SearchReport(Struct):
    """The line printed for one part."""

    part: str
    replicas: int
    voters: int
    timed: bool
    plant: str
    figures: Statistics
    broken: list[str] = []


def scenario_from(command):
    """Return the scenario that the options describe."""
    kinds = command.kinds or (TIMED_KINDS if command.timed else UNTIMED_KINDS)
    return Scenario(
        command.replicas,
        command.voters,
        command.first_voter,
        command.timed,
        not command.unfounded,
        slow_syncs=command.slow_syncs,
        budget=dict.fromkeys(kinds, command.most_of_a_kind),
    )


def print_report(command, part, counterexample, statistics):
    """Print one part's statistics and its counterexample, if any, which is also written to the trace file."""
    violations = [f"{v.rule}: {v.text}" for v in counterexample.broken] if counterexample else []
    report = SearchReport(part, command.replicas, command.voters, command.timed, command.plant, statistics, violations)
    print(json.encode(report).decode(), flush=True)
    if counterexample:
        print(json.encode(counterexample).decode(), flush=True)
        if command.trace:
            Path(command.trace).write_bytes(json.encode(counterexample))


def replay_trace(command):
    """Replay a trace and print its violations; return the exit status, 1 if there are any."""
    counterexample = json.decode(Path(command.replay).read_bytes(), type=Counterexample)
    with exploring(counterexample.scenario, command.plant):
        violations = replay_moves(counterexample.scenario, counterexample.moves)
    print(json.encode(violations).decode())
    return 1 if violations else 0


def main():
    """Run the command; return the exit status, 1 if an invariant was violated."""
    command = cappa.parse(Explore)
    unknown = [kind for kind in command.kinds if kind not in KINDS]
    if unknown or command.plant not in ("", *PLANTS):
        print(f"UnknownWord: {unknown or command.plant}", file=sys.stderr)
        return EXIT_USAGE
    if command.replay:
        return replay_trace(command)
    scenario = scenario_from(command)
    with exploring(scenario, command.plant):
        counterexample, statistics = breadth_first(scenario, command.deviations, most_seconds=command.seconds)
        print_report(command, "breadth-first", counterexample, statistics)
        if not counterexample and command.walks:
            seeds = range(command.first_seed, command.first_seed + command.walks)
            counterexample, statistics = random_walks(scenario, seeds, command.moves, command.seconds)
            print_report(command, "random walks", counterexample, statistics)
    return 1 if counterexample else 0


if __name__ == "__main__":
    sys.exit(main())
