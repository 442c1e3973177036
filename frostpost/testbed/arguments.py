"""Arguments of `fleet` and `proof`."""

from typing import Annotated

import cappa
from msgspec import Struct


@cappa.command(name="fleet", help="Run a fleet with stand-ins on this machine until Ctrl-C.")
class Fleet(Struct):
    """Arguments of fleet."""

    folder: Annotated[str, cappa.Arg(long=True, help="folder for settings, logs and data")] = "fleet"
    size: Annotated[str, cappa.Arg(long=True, help="full (8 edge, 3 storage, 5 core) or quick (2, 3, 2)")] = "full"
    stamp: Annotated[bool, cappa.Arg(long=True, help="apply the configurations of the stand-in deployments")] = False
    seconds: Annotated[float, cappa.Arg(long=True, help="stop after this time; 0: run until Ctrl-C")] = 0.0


@cappa.command(name="proof", help="Run a fleet under load, inject faults, and check what callers and runners observed.")
class Proof(Struct):
    """Arguments of proof; for an unknown name the known ones are printed."""

    names: Annotated[list[str], cappa.Arg(help="names of proofs; all if none")] = []
    size: Annotated[str, cappa.Arg(long=True, help="full or quick")] = "quick"
    factor: Annotated[float, cappa.Arg(long=True, help="multiple of the deployments' rates")] = 0.5
    seed: Annotated[int, cappa.Arg(long=True, help="seed of load and stand-ins")] = 1
    before: Annotated[str, cappa.Arg(long=True, help="for upgrade: folder of the previous version")] = ""
    keep: Annotated[str, cappa.Arg(long=True, help="keep the fleets' folders in this folder")] = ""
