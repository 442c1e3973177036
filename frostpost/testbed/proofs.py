"""Proofs on real processes: each injects one kind of fault while callers run, and adds its results to `report`."""

import shutil
import signal
import time
from functools import partial

from msgspec import json

from . import fleet as fleets
from .config_races import race_config_changes
from .fleet import call, kill, ready, send_signal, start, wait_for
from .proof_steps import (
    control_runner,
    duty_holder,
    has_progressed,
    pick_daemon,
    restart,
    restart_gracefully,
    sequencer,
    set_hooks,
    status_of,
)


def kill_each_role(fleet, report):
    """Kill and restart a daemon of each role."""
    victims = [pick_daemon(fleet, "edge"), sequencer(fleet), pick_daemon(fleet, "storage")]
    for name in dict.fromkeys([*victims, duty_holder(fleet, "list")]):
        kill(fleet, name)
        time.sleep(1.5)
        report.setdefault("restarts", []).append(restart(fleet, name))


def freeze_each_role(fleet, report):
    """Suspend and resume a daemon of each role."""
    for name in (pick_daemon(fleet, "edge"), sequencer(fleet), pick_daemon(fleet, "storage")):
        send_signal(fleet, name, signal.SIGSTOP)
        time.sleep(2.5)
        send_signal(fleet, name, signal.SIGCONT)
        report.setdefault("thawed", []).append(wait_for(lambda: ready(fleet), 20))


def cut_links(fleet, report):
    """Cut the links between daemons: a partition, one isolated daemon, and a partial cut."""
    cores = [n for n, d in fleet.daemons.items() if d.role == "core"]
    remaining = [n for n in fleet.daemons if n not in cores]
    storage = pick_daemon(fleet, "storage")
    partitions = [
        ({n: remaining for n in cores}, {n: cores for n in remaining}),
        ({storage: [n for n in fleet.daemons if n != storage]}, {}),
        ({cores[0]: remaining[:2]}, {}),
    ]
    for partition in partitions:
        for cuts in partition:
            for name, others in cuts.items():
                set_hooks(fleet, name, cut=others)
        time.sleep(2.5)
        for name in fleet.daemons:
            set_hooks(fleet, name)
        report.setdefault("mended", []).append(wait_for(lambda: ready(fleet), 20))


def rolling_restart(fleet, report):
    """Restart all daemons one after the other."""
    for name, daemon in fleet.daemons.items():
        send_signal(fleet, name, signal.SIGTERM)
        daemon.process.wait(40)
        report.setdefault("exits", []).append(daemon.process.returncode)
        report.setdefault("restarts", []).append(restart(fleet, name))


def kill_all(fleet, report):
    """Kill and restart all daemons at once."""
    for name in fleet.daemons:
        send_signal(fleet, name, signal.SIGKILL)
    for daemon in fleet.daemons.values():
        daemon.process.wait()
    start_s = time.monotonic()
    for name in fleet.daemons:
        start(fleet, name)
    report["back"] = wait_for(lambda: ready(fleet), 60)
    report["back_ms"] = round((time.monotonic() - start_s) * 1000)


def lose_disk(fleet, report):
    """Lose a storage daemon's disk, and after its recovery another storage daemon."""
    name = pick_daemon(fleet, "storage")
    kill(fleet, name)
    shutil.rmtree(f"{fleet.folder}/{name}.data")
    time.sleep(1)
    report["restart"] = restart(fleet, name)
    other = pick_daemon(fleet, "storage", (name,))
    report["refilled"] = wait_for(lambda: status_of(fleet, other)["peers"][name]["ready"], 20)
    kill(fleet, other)
    report["served_without_other"] = wait_for(lambda: ready(fleet, [n for n in fleet.daemons if n != other]), 10)
    report["other_back"] = restart(fleet, other)


def slow_disk(fleet, report):
    """Delay the syncs of one disk."""
    name = pick_daemon(fleet, "storage")
    set_hooks(fleet, name, sync_delay_ms=2500)
    time.sleep(4)
    report["unwell"] = status_of(fleet, name)["unwell"]
    report["others_serve"] = ready(fleet, [n for n, d in fleet.daemons.items() if d.role == "edge"])
    set_hooks(fleet, name)
    report["well"] = wait_for(lambda: ready(fleet), 20)


def runner_failures(fleet, report):
    """Make runners fail in each mode, drain and leave the list."""
    import urllib.request

    rows = list(fleet.runners)
    for pool in ("hmodel", "tlookup"):
        row = next(r for r in rows if r["pool"] == pool)
        for mode in ("before_headers", "in_piece", "before_end", "stall"):
            control_runner(row, mode=mode)
            time.sleep(1)
        control_runner(row, mode="well", leaving=True)
        time.sleep(1)
        rows = [r for r in rows if r != row]
        request = urllib.request.Request(
            f"http://127.0.0.1:{fleet.list_port}/runners", json.encode({"runners": rows}), method="PUT"
        )
        urllib.request.urlopen(request).read()
        time.sleep(2)
    report["listed"] = len(rows)


def drain_runner(fleet, report):
    """Drain a runner."""
    row = next(r for r in fleet.runners if r["pool"] == "hmodel")
    status, response = call(
        fleet, pick_daemon(fleet, "edge"), f"/v1/runners/{row['name']}/drain", "POST", {"leaving": True}
    )
    report["drained"] = (row["name"], status)
    report["drains"] = {row["name"]: int(time.monotonic() * 1000)}
    time.sleep(5)


def wall_clock_jumps(fleet, report):
    """Make the wall clocks of some daemons jump."""
    fleet.daemon_module = "frostpost.testbed.skewed_daemon"
    for name in fleet.daemons:
        report.setdefault("restarts", []).append(restart_gracefully(fleet, name))
    for jump_s in (-3600, 7200):
        for name in [pick_daemon(fleet, "edge"), sequencer(fleet), *(n for n in fleet.daemons if n[0] == "s")]:
            with open(f"{fleet.folder}/{name}.skew", "w") as file:
                file.write(str(jump_s))
        applied = status_of(fleet, pick_daemon(fleet, "storage"))["applied"]
        report.setdefault("goes_on", []).append(wait_for(partial(has_progressed, fleet, applied + 50), 20))


def upgrade(fleet, report):
    """Upgrade all daemons from the previous version to this one."""
    report["before"] = [status_of(fleet, n).get("rules") for n in fleet.daemons]
    fleet.previous_version = ""
    rolling_restart(fleet, report)
    report["rules"] = wait_for(lambda: all(status_of(fleet, n).get("rules") == 2 for n in fleet.daemons), 20)


OVERLOAD_FACTOR = 6


def overload(fleet, report):
    """Multiply the load for four seconds."""
    extra_callers = fleets.start_callers(fleet, 4, factor=OVERLOAD_FACTOR, seed=9, tag="q")
    report["crowd_exit"] = extra_callers.wait(90)


def replace_voter(fleet, report):
    """Replace a voter by a new storage daemon, then lose another one."""
    old_voter = pick_daemon(fleet, "storage")
    edge = pick_daemon(fleet, "edge")
    fleet.seeds = [f"127.0.0.1:{fleet.daemons[n].port}" for n in (edge, pick_daemon(fleet, "core"))]
    fleets.add_daemon(fleet, "s9", "storage", "b")
    fleets.add_daemon(fleet, "e9", "edge", "c")
    report["joined"] = [restart(fleet, "s9"), restart(fleet, "e9")]
    report["full"] = wait_for(lambda: status_of(fleet, edge)["peers"]["s9"]["ready"], 20)
    report["too_few"] = call(fleet, edge, "/v1/voters", "POST", {"remove": old_voter})[0]
    report["added"] = call(fleet, edge, "/v1/voters", "POST", {"add": "s9"})
    report["emptied"] = call(fleet, edge, "/v1/voters", "POST", {"remove": old_voter})
    send_signal(fleet, old_voter, signal.SIGTERM)
    fleet.daemons[old_voter].process.wait(40)
    report["exit"] = fleet.daemons[old_voter].process.returncode
    other = pick_daemon(fleet, "storage", (old_voter,))
    kill(fleet, other)
    remaining = [n for n in fleet.daemons if n not in (old_voter, other)]
    report["served_without_another"] = wait_for(lambda: ready(fleet, remaining), 10)
    report["other_back"] = restart(fleet, other)


def run_undisturbed(fleet, report):
    """Inject no fault."""
    time.sleep(5)


PROOFS = {
    "calm": run_undisturbed,
    "kill": kill_each_role,
    "freeze": freeze_each_role,
    "cuts": cut_links,
    "roll": rolling_restart,
    "all_down": kill_all,
    "lose_disk": lose_disk,
    "slow_disk": slow_disk,
    "runners": runner_failures,
    "drains": drain_runner,
    "crowd": overload,
    "races": race_config_changes,
    "grow": replace_voter,
    "clocks": wall_clock_jumps,
    "upgrade": upgrade,
}
