from .told import Breach

SOON_MS = 2000
PATH = "tenants/hlidar"


def drained(callerNotes):
    for note in callerNotes:
        if note["kind"] == "drained" and note["status"] == 200:
            yield note["runner"], note["atMs"]


def configured(callerNotes, byRun):
    said = [n for n in callerNotes if n["kind"] == "configured"]
    acked = {n["value"]: n for n in said if n["status"] == 200}
    turnedAway = {n["value"] for n in said if n["status"] in (409, 412, 422)}
    versions = {}
    for note in acked.values():
        if note["version"] in versions:
            yield Breach("bothAcked", f"version {note['version']} was acknowledged to two")
        versions[note["version"]] = note
        if note.get("ifMatch") is not None and note["version"] != note["ifMatch"] + 1:
            yield Breach("bothAcked", f"{note['value']} took effect as {note['version']} against {note['ifMatch']}")
    for run in byRun.values():
        if run.get("maxOutput") in turnedAway:
            yield Breach("losing", f"{run['request']} ran by {run['maxOutput']}, which was turned away")
    yield from behind(acked, byRun)


def sentMs(run):
    return run["atMs"] - run.get("heldMs", 0)


def behind(acked, byRun):
    newest = 0
    marks = sorted((n["atMs"] + SOON_MS, n["version"]) for n in acked.values())
    runs = sorted((n for n in byRun.values() if PATH in (n.get("config") or ())), key=sentMs)
    seen = []
    for run in runs:
        mine = run["config"][PATH]
        due = max([v for atMs, v in marks if atMs < sentMs(run)], default=0)
        while seen and seen[0][0] + SOON_MS < sentMs(run):
            newest = max(newest, seen.pop(0)[1])
        if mine < max(due, newest):
            yield Breach("config", f"{run['request']} ran by version {mine} when {max(due, newest)} was due")
        seen.append((sentMs(run), mine))
