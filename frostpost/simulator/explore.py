"""The command that explores the ordering protocol's states: breadth-first, then at random.

It takes the product's own steps of membership, ordering, recovery, primary, voters and leases, and prints one line of
figures for each part. A run that breaks a rule is printed as a trace that `--replay` and the tests play again.
"""

import sys
from pathlib import Path
from typing import Annotated

import cappa
from msgspec import Struct, json

from .explore_context import exploring
from .explore_enabled_moves import KINDS
from .explore_plants import PLANTS
from .explore_search import Figures, Found, breadth_first
from .explore_state import Scenario
from .explore_walks import replayed, walk_at_random

UNTIMED = tuple(kind for kind in KINDS if kind not in ("freeze", "thaw"))
TIMED = tuple(kind for kind in KINDS if kind not in ("propose", "remind"))
BAD_USAGE = 64


@cappa.command(name="explore", help="Walk the ordering protocol's states and check its rules in each.")
class Explore(Struct, kw_only=True):
    """Options of the command."""

    replicas: Annotated[int, cappa.Arg(long=True, help="how many replicas")] = 3
    voters: Annotated[int, cappa.Arg(long=True, help="how many of them vote at first")] = 3
    first_voter: Annotated[int, cappa.Arg(long="--first-voter", help="how many replicas stand before the voters")] = 0
    timed: Annotated[bool, cappa.Arg(long=True, help="with clocks, failure detector and leases")] = False
    unfounded: Annotated[bool, cappa.Arg(long=True, help="from empty disks, else from an opened primary")] = False
    slow_syncs: Annotated[bool, cappa.Arg(long="--slow-syncs", help="receipts are told before the sync")] = False
    deviations: Annotated[int, cappa.Arg(long=True, help="most moves out of order or of trouble, breadth-first")] = 2
    kinds: Annotated[
        list[str], cappa.Arg(long="--kind", help=f"of {', '.join(KINDS)}; all that apply if not given")
    ] = []
    most_of_a_kind: Annotated[int, cappa.Arg(long="--most", help="moves of one kind in a run, breadth-first")] = 2
    walks: Annotated[int, cappa.Arg(long=True, help="random walks after that, each with a seed of its own")] = 0
    first_seed: Annotated[int, cappa.Arg(long="--first-seed", help="the first walk's seed")] = 1
    moves: Annotated[int, cappa.Arg(long=True, help="moves in a random walk")] = 500
    seconds: Annotated[float, cappa.Arg(long=True, help="most time for each part")] = 3600.0
    plant: Annotated[str, cappa.Arg(long=True, help=f"a rule to switch off: {', '.join(PLANTS)}")] = ""
    trace: Annotated[str, cappa.Arg(long=True, help="file for the trace of a run that breaks a rule")] = ""
    replay: Annotated[str, cappa.Arg(long=True, help="file with a trace to play again")] = ""


class Line(Struct):
    """What is printed of one part."""

    part: str
    replicas: int
    voters: int
    timed: bool
    plant: str
    figures: Figures
    broken: list[str] = []


def scenario_of(command):
    """What the options ask for."""
    kinds = command.kinds or (TIMED if command.timed else UNTIMED)
    return Scenario(
        command.replicas,
        command.voters,
        command.first_voter,
        command.timed,
        not command.unfounded,
        slow_syncs=command.slow_syncs,
        budget=dict.fromkeys(kinds, command.most_of_a_kind),
    )


def tell(command, part, found, figures):
    """Print one part's figures and, if a rule broke, the trace."""
    broken = [f"{b.rule}: {b.text}" for b in found.broken] if found else []
    line = Line(part, command.replicas, command.voters, command.timed, command.plant, figures, broken)
    print(json.encode(line).decode(), flush=True)
    if found:
        print(json.encode(found).decode(), flush=True)
        if command.trace:
            Path(command.trace).write_bytes(json.encode(found))


def replay(command):
    """Play a trace again. -> the exit status."""
    found = json.decode(Path(command.replay).read_bytes(), type=Found)
    with exploring(found.scenario, command.plant):
        broken = replayed(found.scenario, found.moves)
    print(json.encode(broken).decode())
    return 1 if broken else 0


def main():
    """Run the command. -> the exit status: 1 if a rule broke."""
    command = cappa.parse(Explore)
    unknown = [word for word in command.kinds if word not in KINDS]
    if unknown or command.plant not in ("", *PLANTS):
        print(f"UnknownWord: {unknown or command.plant}", file=sys.stderr)
        return BAD_USAGE
    if command.replay:
        return replay(command)
    scenario = scenario_of(command)
    with exploring(scenario, command.plant):
        found, figures = breadth_first(scenario, command.deviations, most_seconds=command.seconds)
        tell(command, "breadth-first", found, figures)
        if not found and command.walks:
            seeds = range(command.first_seed, command.first_seed + command.walks)
            found, figures = walk_at_random(scenario, seeds, command.moves, command.seconds)
            tell(command, "random walks", found, figures)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
