"""Proofs on real processes: each brings a kind of trouble about while callers run."""

import shutil
import signal
import time
from functools import partial

from msgspec import json

from . import fleet as fleets
from .contests import races
from .fleet import call, kill, ready, send, start, wait_for
from .proof_steps import advanced, again, change, holder, hook, one, round_one, sequencer, status_of


def kill_each(fleet, facts):
    """Kill daemons of each kind."""
    victims = [one(fleet, "edge"), sequencer(fleet), one(fleet, "storage")]
    for name in dict.fromkeys([*victims, holder(fleet, "list")]):
        kill(fleet, name)
        time.sleep(1.5)
        facts.setdefault("restarts", []).append(again(fleet, name))


def freeze_each(fleet, facts):
    """Freeze daemons of each kind."""
    for name in (one(fleet, "edge"), sequencer(fleet), one(fleet, "storage")):
        send(fleet, name, signal.SIGSTOP)
        time.sleep(2.5)
        send(fleet, name, signal.SIGCONT)
        facts.setdefault("thawed", []).append(wait_for(lambda: ready(fleet), 20))


def cuts(fleet, facts):
    """Cut links in several ways."""
    core = [n for n, d in fleet.daemons.items() if d.role == "core"]
    rest = [n for n in fleet.daemons if n not in core]
    storage = one(fleet, "storage")
    plans = [
        ({n: rest for n in core}, {n: core for n in rest}),
        ({storage: [n for n in fleet.daemons if n != storage]}, {}),
        ({core[0]: rest[:2]}, {}),
    ]
    for plan in plans:
        for side in plan:
            for name, others in side.items():
                hook(fleet, name, cut=others)
        time.sleep(2.5)
        for name in fleet.daemons:
            hook(fleet, name)
        facts.setdefault("mended", []).append(wait_for(lambda: ready(fleet), 20))


def roll(fleet, facts):
    """Restart all daemons in turn."""
    for name, daemon in fleet.daemons.items():
        send(fleet, name, signal.SIGTERM)
        daemon.process.wait(40)
        facts.setdefault("exits", []).append(daemon.process.returncode)
        facts.setdefault("restarts", []).append(again(fleet, name))


def all_down(fleet, facts):
    """Kill all daemons at once."""
    for name in fleet.daemons:
        send(fleet, name, signal.SIGKILL)
    for daemon in fleet.daemons.values():
        daemon.process.wait()
    start_s = time.monotonic()
    for name in fleet.daemons:
        start(fleet, name)
    facts["back"] = wait_for(lambda: ready(fleet), 60)
    facts["back_ms"] = round((time.monotonic() - start_s) * 1000)


def lose_disk(fleet, facts):
    """Lose one disk, then another daemon."""
    name = one(fleet, "storage")
    kill(fleet, name)
    shutil.rmtree(f"{fleet.folder}/{name}.data")
    time.sleep(1)
    facts["restart"] = again(fleet, name)
    other = one(fleet, "storage", (name,))
    facts["refilled"] = wait_for(lambda: status_of(fleet, other)["peers"][name]["ready"], 20)
    kill(fleet, other)
    facts["served_without_other"] = wait_for(lambda: ready(fleet, [n for n in fleet.daemons if n != other]), 10)
    facts["other_back"] = again(fleet, other)


def slow_disk(fleet, facts):
    """Slow down one disk."""
    name = one(fleet, "storage")
    hook(fleet, name, sync_delay_ms=2500)
    time.sleep(4)
    facts["unwell"] = status_of(fleet, name)["unwell"]
    facts["others_serve"] = ready(fleet, [n for n, d in fleet.daemons.items() if d.role == "edge"])
    hook(fleet, name)
    facts["well"] = wait_for(lambda: ready(fleet), 20)


def runners(fleet, facts):
    """Let runners misbehave and leave."""
    import urllib.request

    rows = list(fleet.runners)
    for pool in ("hmodel", "tlookup"):
        row = next(r for r in rows if r["pool"] == pool)
        for mode in ("before_headers", "in_piece", "before_end", "stall"):
            change(row, mode=mode)
            time.sleep(1)
        change(row, mode="well", leaving=True)
        time.sleep(1)
        rows = [r for r in rows if r != row]
        request = urllib.request.Request(
            f"http://127.0.0.1:{fleet.list_port}/runners", json.encode({"runners": rows}), method="PUT"
        )
        urllib.request.urlopen(request).read()
        time.sleep(2)
    facts["listed"] = len(rows)


def drains(fleet, facts):
    """Drain a runner."""
    row = next(r for r in fleet.runners if r["pool"] == "hmodel")
    status, said = call(fleet, one(fleet, "edge"), f"/v1/runners/{row['name']}/drain", "POST", {"leaving": True})
    facts["drained"] = (row["name"], status)
    facts["drains"] = {row["name"]: int(time.monotonic() * 1000)}
    time.sleep(5)


def clocks(fleet, facts):
    """Let wall clocks jump."""
    fleet.program = "frostpost.testbed.skewed"
    for name in fleet.daemons:
        facts.setdefault("restarts", []).append(round_one(fleet, name))
    for jump_s in (-3600, 7200):
        for name in [one(fleet, "edge"), sequencer(fleet), *(n for n in fleet.daemons if n[0] == "s")]:
            with open(f"{fleet.folder}/{name}.skew", "w") as file:
                file.write(str(jump_s))
        before = status_of(fleet, one(fleet, "storage"))["applied"]
        facts.setdefault("goes_on", []).append(wait_for(partial(advanced, fleet, before + 50), 20))


def upgrade(fleet, facts):
    """Roll out this version over the one before."""
    facts["before"] = [status_of(fleet, n).get("rules") for n in fleet.daemons]
    fleet.before = ""
    roll(fleet, facts)
    facts["rules"] = wait_for(lambda: all(status_of(fleet, n).get("rules") == 2 for n in fleet.daemons), 20)


CROWD = 6


def crowd(fleet, facts):
    """Multiply the load for a while."""
    extra = fleets.load(fleet, 4, factor=CROWD, seed=9, tag="q")
    facts["crowd_exit"] = extra.wait(90)


def grow(fleet, facts):
    """Replace a voter by a new storage daemon."""
    old = one(fleet, "storage")
    edge = one(fleet, "edge")
    fleet.seeds = [f"127.0.0.1:{fleet.daemons[n].port}" for n in (edge, one(fleet, "core"))]
    fleets.extend(fleet, "s9", "storage", "b")
    fleets.extend(fleet, "e9", "edge", "c")
    facts["joined"] = [again(fleet, "s9"), again(fleet, "e9")]
    facts["full"] = wait_for(lambda: status_of(fleet, edge)["peers"]["s9"]["ready"], 20)
    facts["too_few"] = call(fleet, edge, "/v1/voters", "POST", {"remove": old})[0]
    facts["added"] = call(fleet, edge, "/v1/voters", "POST", {"add": "s9"})
    facts["emptied"] = call(fleet, edge, "/v1/voters", "POST", {"remove": old})
    send(fleet, old, signal.SIGTERM)
    fleet.daemons[old].process.wait(40)
    facts["exit"] = fleet.daemons[old].process.returncode
    other = one(fleet, "storage", (old,))
    kill(fleet, other)
    rest = [n for n in fleet.daemons if n not in (old, other)]
    facts["served_without_another"] = wait_for(lambda: ready(fleet, rest), 10)
    facts["other_back"] = again(fleet, other)


def calm(fleet, facts):
    """Cause nothing."""
    time.sleep(5)


PROOFS = {
    "calm": calm,
    "kill": kill_each,
    "freeze": freeze_each,
    "cuts": cuts,
    "roll": roll,
    "all_down": all_down,
    "lose_disk": lose_disk,
    "slow_disk": slow_disk,
    "runners": runners,
    "drains": drains,
    "crowd": crowd,
    "races": races,
    "grow": grow,
    "clocks": clocks,
    "upgrade": upgrade,
}
