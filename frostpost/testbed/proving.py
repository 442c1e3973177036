"""Commands that run local fleets and proofs on them."""

import os
import shutil
import sys
import tempfile
import time
from os import EX_USAGE

from msgspec import json

from . import fleet as fleets
from .event_log import read_events
from .judge import judge, summary
from .proofs import PROOFS

PLANNED_PROOFS = ("upgrade", "roll", "calm", "races", "drains", "grow", "clocks")


def run_proof(name, size, factor, seed, folder, previous_version=""):
    """Run one proof on a new fleet. Returns its report.

    After the proof, callers with the tag `z` check that the fleet still serves.
    """
    fleet = fleets.plan_fleet(folder, size)
    fleet.previous_version = os.path.abspath(previous_version) if previous_version else ""
    facts, start_s = {}, time.monotonic()
    try:
        if not fleets.start_fleet(fleet, seed):
            return {"proof": name, "breaches": [{"never": "back", "text": "the fleet did not become ready"}]}
        responses = fleets.apply_configs(fleet)
        facts["stamped"] = [status for status, _ in responses]
        time.sleep(1)
        callers = fleets.start_callers(fleet, 600, factor, seed)
        time.sleep(2)
        try:
            PROOFS[name](fleet, facts)
            time.sleep(1)
        finally:
            callers.terminate()
            callers.wait()
        late_callers = fleets.start_callers(fleet, 3, factor, seed + 1, tag="z")
        facts["after_exit"] = late_callers.wait(90)
    finally:
        fleets.stop_fleet(fleet)
    caller_events = read_events(f"{folder}/callers.notes")
    breaches = judge(
        caller_events,
        read_events(f"{folder}/runners.notes"),
        facts.get("drains", {}).items(),
        planned=name in PLANNED_PROOFS,
    )
    late_events = [e for e in caller_events if e.get("request", "").startswith("z")]
    return {
        "proof": name,
        "breaches": breaches,
        "facts": facts,
        "callers": summary(caller_events),
        "after": summary(late_events),
        "seconds": round(time.monotonic() - start_s, 1),
    }


def run_proofs(command):
    """Run proofs and print their reports. Returns the exit status."""
    unknown = [n for n in command.names if n not in PROOFS or n == "upgrade" and not command.before]
    if unknown:
        print(f"UnknownProof: {', '.join(unknown)}: known are {', '.join(PROOFS)}", file=sys.stderr)
        return EX_USAGE
    failed = 0
    for name in command.names or [proof for proof in PROOFS if proof != "upgrade" or command.before]:
        folder = os.path.join(command.keep, name) if command.keep else tempfile.mkdtemp(prefix="frostpost-")
        shutil.rmtree(folder, ignore_errors=True)
        report = run_proof(name, command.size, command.factor, command.seed, folder, command.before)
        failed += bool(report["breaches"])
        print(json.encode(report).decode()[:4000], flush=True)
        if not command.keep:
            shutil.rmtree(folder, ignore_errors=True)
    return 1 if failed else 0


def run_fleet(command):
    """Run a fleet until it is interrupted. Returns the exit status."""
    fleet = fleets.plan_fleet(command.folder, command.size)
    try:
        if not fleets.start_fleet(fleet):
            print("FleetNotReady: see the log files in the fleet's folder", file=sys.stderr)
            return 1
        for name, daemon in fleet.daemons.items():
            print(f"{name} {daemon.role} {daemon.zone} http://127.0.0.1:{daemon.http_port}")
        if command.stamp:
            print([status for status, _ in fleets.apply_configs(fleet)])
        print("ready", flush=True)
        end_s = time.monotonic() + (command.seconds or 1 << 30)
        while time.monotonic() < end_s:
            time.sleep(0.2)
    except KeyboardInterrupt:
        pass
    finally:
        fleets.stop_fleet(fleet)
    return 0
