"""Run local fleets and proofs on them; each function returns what the command reports."""

import os
import shutil
import sys
import tempfile
import time
from os import EX_USAGE

from msgspec import json

from . import fleet as fleets
from .judge import judge, summary
from .notes import read
from .proofs import PROOFS

PLANNED = ("upgrade", "roll", "calm", "races", "drains", "grow", "clocks")


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
        print(f"UnknownProof: {', '.join(unknown)}: known are {', '.join(PROOFS)}", file=sys.stderr)
        return EX_USAGE
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


def run_fleet(command):
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
