"""Judge configuration changes and drains by what operators were told and runners saw."""

from .told import Breach

SOON_MS = 2000
PATH = "tenants/hlidar"


def drained(caller_notes):
    """Yield (runner, time in milliseconds) of confirmed drains."""
    for note in caller_notes:
        if note["kind"] == "drained" and note["status"] == 200:
            yield note["runner"], note["at_ms"]


def configured(caller_notes, by_run):
    """Yield breaches: a version confirmed twice, or a refused change that took effect."""
    said = [n for n in caller_notes if n["kind"] == "configured"]
    acked = {n["value"]: n for n in said if n["status"] == 200}
    refused = {n["value"] for n in said if n["status"] in (409, 412, 422)}
    versions = {}
    for note in acked.values():
        if note["version"] in versions:
            yield Breach("both_acked", f"version {note['version']} was acknowledged to two")
        versions[note["version"]] = note
        if note.get("if_match") is not None and note["version"] != note["if_match"] + 1:
            yield Breach("both_acked", f"{note['value']} took effect as {note['version']} against {note['if_match']}")
    for run in by_run.values():
        if run.get("max_output") in refused:
            yield Breach("losing", f"{run['request']} ran by {run['max_output']}, which was turned away")
    yield from behind(acked, by_run)


def run_sent_ms(run):
    """Return when a run's request was sent, in milliseconds."""
    return run["at_ms"] - run.get("held_ms", 0)


def behind(acked, by_run):
    """Yield breaches: runs under a version that was already replaced."""
    newest = 0
    marks = sorted((n["at_ms"] + SOON_MS, n["version"]) for n in acked.values())
    runs = sorted((n for n in by_run.values() if PATH in (n.get("config") or ())), key=run_sent_ms)
    seen = []
    for run in runs:
        mine = run["config"][PATH]
        due = max([v for at_ms, v in marks if at_ms < run_sent_ms(run)], default=0)
        while seen and seen[0][0] + SOON_MS < run_sent_ms(run):
            newest = max(newest, seen.pop(0)[1])
        if mine < max(due, newest):
            yield Breach("config", f"{run['request']} ran by version {mine} when {max(due, newest)} was due")
        seen.append((run_sent_ms(run), mine))
