import shutil
import signal
import time

from msgspec import json

from . import fleet as fleets
from .contests import races
from .fleet import call, kill, ready, send, start, waitFor


def hook(fleet, name, **facts):
    with open(f"{fleet.folder}/{name}.hooks", "wb") as file:
        file.write(json.encode(facts))


def statusOf(fleet, name):
    return call(fleet, name, "/v1/status", timeout=3)[1]


def one(fleet, role, skip=()):
    return next(n for n, d in fleet.daemons.items() if d.role == role and n not in skip)


def sequencer(fleet):
    return statusOf(fleet, one(fleet, "storage"))["configuration"]["sequencer"]


def holder(fleet, duty):
    return statusOf(fleet, one(fleet, "storage"))["duties"][duty]["holder"]


def again(fleet, name, waitS=30):
    start(fleet, name)
    startS = time.monotonic()
    up = waitFor(lambda: ready(fleet, [name]), waitS)
    return {"daemon": name, "back": up, "backMs": round((time.monotonic() - startS) * 1000)}


def killEach(fleet, facts):
    victims = [one(fleet, "edge"), sequencer(fleet), one(fleet, "storage")]
    for name in dict.fromkeys([*victims, holder(fleet, "list")]):
        kill(fleet, name)
        time.sleep(1.5)
        facts.setdefault("restarts", []).append(again(fleet, name))


def freezeEach(fleet, facts):
    for name in (one(fleet, "edge"), sequencer(fleet), one(fleet, "storage")):
        send(fleet, name, signal.SIGSTOP)
        time.sleep(2.5)
        send(fleet, name, signal.SIGCONT)
        facts.setdefault("thawed", []).append(waitFor(lambda: ready(fleet), 20))


def cuts(fleet, facts):
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
        facts.setdefault("mended", []).append(waitFor(lambda: ready(fleet), 20))


def roll(fleet, facts):
    for name, daemon in fleet.daemons.items():
        send(fleet, name, signal.SIGTERM)
        daemon.process.wait(40)
        facts.setdefault("exits", []).append(daemon.process.returncode)
        facts.setdefault("restarts", []).append(again(fleet, name))


def allDown(fleet, facts):
    for name in fleet.daemons:
        send(fleet, name, signal.SIGKILL)
    for daemon in fleet.daemons.values():
        daemon.process.wait()
    startS = time.monotonic()
    for name in fleet.daemons:
        start(fleet, name)
    facts["back"] = waitFor(lambda: ready(fleet), 60)
    facts["backMs"] = round((time.monotonic() - startS) * 1000)


def loseDisk(fleet, facts):
    name = one(fleet, "storage")
    kill(fleet, name)
    shutil.rmtree(f"{fleet.folder}/{name}.data")
    time.sleep(1)
    facts["restart"] = again(fleet, name)
    other = one(fleet, "storage", (name,))
    facts["refilled"] = waitFor(lambda: statusOf(fleet, other)["peers"][name]["ready"], 20)
    kill(fleet, other)
    facts["servedWithoutOther"] = waitFor(lambda: ready(fleet, [n for n in fleet.daemons if n != other]), 10)
    facts["otherBack"] = again(fleet, other)


def slowDisk(fleet, facts):
    name = one(fleet, "storage")
    hook(fleet, name, syncDelayMs=2500)
    time.sleep(4)
    facts["unwell"] = statusOf(fleet, name)["unwell"]
    facts["othersServe"] = ready(fleet, [n for n, d in fleet.daemons.items() if d.role == "edge"])
    hook(fleet, name)
    facts["well"] = waitFor(lambda: ready(fleet), 20)


def runners(fleet, facts):
    import urllib.request

    rows = list(fleet.runners)
    for pool in ("hmodel", "tlookup"):
        row = next(r for r in rows if r["pool"] == pool)
        for mode in ("beforeHeaders", "inPiece", "beforeEnd", "stall"):
            change(row, mode=mode)
            time.sleep(1)
        change(row, mode="well", leaving=True)
        time.sleep(1)
        rows = [r for r in rows if r != row]
        request = urllib.request.Request(
            f"http://127.0.0.1:{fleet.listPort}/runners", json.encode({"runners": rows}), method="PUT"
        )
        urllib.request.urlopen(request).read()
        time.sleep(2)
    facts["listed"] = len(rows)


def change(row, **facts):
    import urllib.request

    request = urllib.request.Request(f"http://127.0.0.1:{row['port']}/stand-in", json.encode(facts), method="POST")
    return json.decode(urllib.request.urlopen(request).read())


def drains(fleet, facts):
    row = next(r for r in fleet.runners if r["pool"] == "hmodel")
    status, said = call(fleet, one(fleet, "edge"), f"/v1/runners/{row['name']}/drain", "POST", {"leaving": True})
    facts["drained"] = (row["name"], status)
    facts["drains"] = {row["name"]: int(time.monotonic() * 1000)}
    time.sleep(5)


def clocks(fleet, facts):
    fleet.program = "frostpost.testbed.skewed"
    for name in fleet.daemons:
        facts.setdefault("restarts", []).append(roundOne(fleet, name))
    for jumpS in (-3600, 7200):
        for name in [one(fleet, "edge"), sequencer(fleet), *(n for n in fleet.daemons if n[0] == "s")]:
            with open(f"{fleet.folder}/{name}.skew", "w") as file:
                file.write(str(jumpS))
        before = statusOf(fleet, one(fleet, "storage"))["applied"]
        facts.setdefault("goesOn", []).append(
            waitFor(lambda: ready(fleet) and statusOf(fleet, one(fleet, "storage"))["applied"] > before + 50, 20)
        )


def upgrade(fleet, facts):
    facts["before"] = [statusOf(fleet, n).get("rules") for n in fleet.daemons]
    fleet.before = ""
    roll(fleet, facts)
    facts["rules"] = waitFor(lambda: all(statusOf(fleet, n).get("rules") == 2 for n in fleet.daemons), 20)


def roundOne(fleet, name):
    send(fleet, name, signal.SIGTERM)
    fleet.daemons[name].process.wait(40)
    return again(fleet, name)


CROWD = 6


def crowd(fleet, facts):
    extra = fleets.load(fleet, 4, factor=CROWD, seed=9, tag="q")
    facts["crowdExit"] = extra.wait(90)


def grow(fleet, facts):
    old = one(fleet, "storage")
    edge = one(fleet, "edge")
    fleet.seeds = [f"127.0.0.1:{fleet.daemons[n].port}" for n in (edge, one(fleet, "core"))]
    fleets.extend(fleet, "s9", "storage", "b")
    fleets.extend(fleet, "e9", "edge", "c")
    facts["joined"] = [again(fleet, "s9"), again(fleet, "e9")]
    facts["full"] = waitFor(lambda: statusOf(fleet, edge)["peers"]["s9"]["ready"], 20)
    facts["tooFew"] = call(fleet, edge, "/v1/voters", "POST", {"remove": old})[0]
    facts["added"] = call(fleet, edge, "/v1/voters", "POST", {"add": "s9"})
    facts["emptied"] = call(fleet, edge, "/v1/voters", "POST", {"remove": old})
    send(fleet, old, signal.SIGTERM)
    fleet.daemons[old].process.wait(40)
    facts["exit"] = fleet.daemons[old].process.returncode
    other = one(fleet, "storage", (old,))
    kill(fleet, other)
    rest = [n for n in fleet.daemons if n not in (old, other)]
    facts["servedWithoutAnother"] = waitFor(lambda: ready(fleet, rest), 10)
    facts["otherBack"] = again(fleet, other)


def calm(fleet, facts):
    time.sleep(5)


PROOFS = {
    "calm": calm,
    "kill": killEach,
    "freeze": freezeEach,
    "cuts": cuts,
    "roll": roll,
    "allDown": allDown,
    "loseDisk": loseDisk,
    "slowDisk": slowDisk,
    "runners": runners,
    "drains": drains,
    "crowd": crowd,
    "races": races,
    "grow": grow,
    "clocks": clocks,
    "upgrade": upgrade,
}
