"""Command line of the testbed."""

import os
import shutil
import sys
import tempfile
import time
from typing import Annotated

import cappa
from msgspec import Struct, json

from . import fleet as fleets
from .judge import judge, summary
from .notes import read
from .proofs import PROOFS

PLANNED = ("upgrade", "roll", "calm", "races", "drains", "grow", "clocks")


@cappa.command(name="fleet", help="Raise a whole fleet with stand-ins on this machine; Ctrl-C ends it.")
class FleetCommand(Struct):
    """Arguments of fleet."""

    folder: Annotated[str, cappa.Arg(long=True, help="folder for settings, logs and data")] = "fleet"
    size: Annotated[str, cappa.Arg(long=True, help="full (8 edge, 3 storage, 5 core) or quick (2, 3, 2)")] = "full"
    stamp: Annotated[bool, cappa.Arg(long=True, help="stamp both deployments' tenants")] = False
    seconds: Annotated[float, cappa.Arg(long=True, help="end after so long; 0: until Ctrl-C")] = 0.0


@cappa.command(name="proof", help="Raise a fleet, load it, cause faults, and judge from outside.")
class ProofCommand(Struct):
    """Arguments of proof."""

    names: Annotated[list[str], cappa.Arg(help=f"any of {', '.join(PROOFS)}; all if none")] = []
    size: Annotated[str, cappa.Arg(long=True)] = "quick"
    factor: Annotated[float, cappa.Arg(long=True, help="times the brief's rates")] = 0.5
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    before: Annotated[str, cappa.Arg(long=True, help="upgrade: folder that holds the version before")] = ""
    keep: Annotated[str, cappa.Arg(long=True, help="keep the fleets' folders below this one")] = ""


@cappa.command(name="testbed", help="Stand-ins, load, fleets and proofs for frostpost.")
class Scarecrow(Struct):
    """The testbed's commands."""

    command: cappa.Subcommands[FleetCommand | ProofCommand]


def prove(name, size, factor, seed, folder, before=""):
    """Run one proof on a fleet of its own; returns its report."""
    fleet = fleets.lay(folder, size)
    fleet.before = os.path.abspath(before) if before else ""
    facts, start_s = {}, time.monotonic()
    try:
        if not fleets.raise_(fleet, seed):
            return {"proof": name, "breaches": [{"never": "back", "text": "the fleet did not come up"}]}
        said = fleets.stamp_all(fleet)
        facts["stamped"] = [s for s, _ in said]
        time.sleep(1)
        load = fleets.load(fleet, 600, factor, seed)
        time.sleep(2)
        try:
            PROOFS[name](fleet, facts)
            time.sleep(1)
        finally:
            load.terminate()
            load.wait()
        over = fleets.load(fleet, 3, factor, seed + 1, tag="z")
        facts["after_exit"] = over.wait(90)
    finally:
        fleets.end(fleet)
    notes = read(f"{folder}/callers.notes")
    breaches = judge(notes, read(f"{folder}/runners.notes"), facts.get("drains", {}).items(), planned=name in PLANNED)
    late = [n for n in notes if n.get("request", "").startswith("z")]
    return {
        "proof": name,
        "breaches": breaches,
        "facts": facts,
        "callers": summary(notes),
        "after": summary(late),
        "seconds": round(time.monotonic() - start_s, 1),
    }


def proofs(command):
    """Run proofs; returns the exit status."""
    unknown = [n for n in command.names if n not in PROOFS or n == "upgrade" and not command.before]
    if unknown:
        print(f"UnknownProof: {unknown}", file=sys.stderr)
        return 64
    broken = 0
    for name in command.names or [p for p in PROOFS if p != "upgrade" or command.before]:
        folder = os.path.join(command.keep, name) if command.keep else tempfile.mkdtemp(prefix="frostpost-")
        shutil.rmtree(folder, ignore_errors=True)
        report = prove(name, command.size, command.factor, command.seed, folder, command.before)
        broken += bool(report["breaches"])
        print(json.encode(report).decode()[:4000], flush=True)
        if not command.keep:
            shutil.rmtree(folder, ignore_errors=True)
    return 1 if broken else 0


def keep_up(command):
    """Run a fleet until it is interrupted; returns the exit status."""
    fleet = fleets.lay(command.folder, command.size)
    try:
        if not fleets.raise_(fleet):
            print("FleetNotReady: see the logs in the folder", file=sys.stderr)
            return 1
        for name, daemon in fleet.daemons.items():
            print(f"{name} {daemon.role} {daemon.zone} http://127.0.0.1:{daemon.http_port}")
        if command.stamp:
            print([s for s, _ in fleets.stamp_all(fleet)])
        print("ready", flush=True)
        end_s = time.monotonic() + (command.seconds or 1 << 30)
        while time.monotonic() < end_s:
            time.sleep(0.2)
    except KeyboardInterrupt:
        pass
    finally:
        fleets.end(fleet)
    return 0


def main():
    """Run the command line; returns the exit status."""
    command = cappa.parse(Scarecrow).command
    return proofs(command) if isinstance(command, ProofCommand) else keep_up(command)


if __name__ == "__main__":
    sys.exit(main())
