"""Arguments of `fleet` and `proof`."""

from typing import Annotated

import cappa
from msgspec import Struct


@cappa.command(name="fleet", help="Run a whole fleet with stand-ins on this machine; Ctrl-C ends it.")
class Fleet(Struct):
    """Arguments of fleet."""

    folder: Annotated[str, cappa.Arg(long=True, help="folder for settings, logs and data")] = "fleet"
    size: Annotated[str, cappa.Arg(long=True, help="full (8 edge, 3 storage, 5 core) or quick (2, 3, 2)")] = "full"
    stamp: Annotated[bool, cappa.Arg(long=True, help="apply the stand-in deployments' declarations")] = False
    seconds: Annotated[float, cappa.Arg(long=True, help="end after so long; 0: until Ctrl-C")] = 0.0


@cappa.command(name="proof", help="Run a fleet, load it, cause faults, and judge from outside.")
class Proof(Struct):
    """Arguments of proof; an unknown name is answered with those that there are."""

    names: Annotated[list[str], cappa.Arg(help="names of proofs; all if none")] = []
    size: Annotated[str, cappa.Arg(long=True, help="full or quick")] = "quick"
    factor: Annotated[float, cappa.Arg(long=True, help="times the deployments' rates")] = 0.5
    seed: Annotated[int, cappa.Arg(long=True, help="seed of load and stand-ins")] = 1
    before: Annotated[str, cappa.Arg(long=True, help="upgrade: folder that holds the version before")] = ""
    keep: Annotated[str, cappa.Arg(long=True, help="keep the fleets' folders below this one")] = ""
