"""Arguments of `simulate`."""

from typing import Annotated

import cappa
from msgspec import Struct


@cappa.command(name="simulate", help="Play seeded storms of faults against the daemons' code under a virtual clock.")
class Simulate(Struct, kw_only=True):
    """Arguments of `simulate`; for an unknown shape, fault or plant, the known ones are printed."""

    first: Annotated[int, cappa.Arg(long=True, help="first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="how many seeds")] = 100
    shape: Annotated[str, cappa.Arg(long=True, help="quick, full or voters: how many daemons of each role")] = "quick"
    kinds: Annotated[list[str], cappa.Arg(long="--kind", help="a fault; may be given again; all if not given")] = []
    gap_ms: Annotated[int, cappa.Arg(long="--gap-ms", help="the longest wait between two faults")] = 2500
    plant: Annotated[str, cappa.Arg(long=True, help="an error planted in the core's code")] = ""
    whole: Annotated[bool, cappa.Arg(long=True, help="with HTTP, callers, runners and the runner list as well")] = False
    planned: Annotated[bool, cappa.Arg(long=True, help="with --whole: planned work only, nothing is dropped")] = False
    workers: Annotated[int, cappa.Arg(long=True, help="processes that play at once")] = 8
