"""Arguments of `fleet`, `proof` and `scale`."""

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


@cappa.command(name="run", help="Run three storage daemons and many leaves without HTTP, and print what they cost.")
class ScaleRun(Struct):
    """Arguments of scale run."""

    leaves: Annotated[int, cappa.Arg(long=True, help="how many leaves")] = 16
    rate: Annotated[float, cappa.Arg(long=True, help="ordered operations a second, all leaves together")] = 0.0
    seconds: Annotated[float, cappa.Arg(long=True, help="how long to measure")] = 5.0
    warm: Annotated[float, cappa.Arg(long=True, help="seconds of load before the measured ones")] = 1.5
    body: Annotated[int, cappa.Arg(long=True, help="bytes of a turn's body")] = 2000
    candidates: Annotated[int, cappa.Arg(long=True, help="runners that each Begin names")] = 32
    routing: Annotated[int, cappa.Arg(long=True, help="bytes of the routing set at the end")] = 16000
    port: Annotated[int, cappa.Arg(long=True, help="port of all daemons; 0: one by the process id")] = 0


@cappa.command(name="state", help="Print what the replicated state costs in memory, bytes and time, by its size.")
class ScaleState(Struct):
    """Arguments of scale state."""

    programs: Annotated[int, cappa.Arg(long=True, help="how many programs")] = 2000
    turns: Annotated[int, cappa.Arg(long=True, help="turns of each program")] = 67


@cappa.command(name="scale", help="Measure what a deployment costs at a size.")
class Scale(Struct):
    """Arguments of scale: one of its subcommands."""

    command: cappa.Subcommands[ScaleRun | ScaleState]
