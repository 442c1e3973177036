from collections import defaultdict

from msgspec import Struct

from .templates import TEMPLATES, TENANTS

NOT_RUN = {
    "Overfilled", "NoPrimary", "Undecided", "Leaving", "Crowded", "RunnersFull", "LimitPassed",
    "BadBody", "TooLong", "NoLane", "BudgetGone", "TurnRunning", "ConfigChanging", "KeyMismatch"}


class Breach(Struct, frozen=True):
    never: str
    text: str


class Ask(Struct):
    request: str
    tenant: str
    lane: str
    kind: str
    document: dict
    askedMs: int
    answeredMs: int = 0
    status: int = 0
    whole: bool = False
    lines: list = []


def laneOf(tenant, lane):
    return TEMPLATES[TENANTS[tenant]["template"]]["lanes"][lane]


def asks(notes):
    found = {}
    for note in notes:
        if note["kind"] == "asked":
            _, _, _, tenant, _, lane, kind = note["path"].split("/")
            found[note["request"]] = Ask(
                note["request"], tenant, lane, kind, note["document"], note["atMs"])
        elif note["kind"] == "answered":
            ask = found[note["request"]]
            ask.answeredMs, ask.status = note["atMs"], note["status"]
            ask.whole, ask.lines = note["whole"], note["lines"]
    return found


def faultOf(ask):
    for line in ask.lines:
        if isinstance(line, dict) and "fault" in line:
            return line["fault"]["type"]
    return None


def ended(ask):
    return ask.status == 200 and bool(ask.lines) and bool(ask.lines[-1].get("end"))


def doubled(found, runs):
    for request, ran in runs.items():
        ask = found.get(request)
        if ask is None:
            yield Breach("stranger", f"{request} ran and nobody asked it")
            continue
        shape = laneOf(ask.tenant, ask.lane)
        if shape.get("repeat", "once") != "free" and len(ran) > 1:
            yield Breach("twice", f"{request} ran {len(ran)} times")
        if ran and ask.status and faultOf(ask) in NOT_RUN:
            yield Breach("ranAfterTurnedAway", f"{request} was told {faultOf(ask)} and ran")
        for note in ran:
            if note["pool"] not in shape["pools"]:
                yield Breach("notAllowed", f"{request} reached {note['runner']}")


def keysOnce(found, runs):
    ran = defaultdict(list)
    for request, notes in runs.items():
        ask = found.get(request)
        if ask and "key" in ask.document:
            ran[(ask.tenant, ask.lane, ask.document["key"])] += [n["atMs"] for n in notes]
    for key, times in ran.items():
        times.sort()
        if any(b - a < 60000 for a, b in zip(times, times[1:])):
            yield Breach("keyTwice", f"{key} ran at {times}")


def lookupsRight(found):
    for ask in found.values():
        if ask.kind == "lookups" and ask.status == 200:
            if not ask.whole or ask.lines[0].get("result", {}).get("echo") != ask.document["input"]:
                yield Breach("wrongAnswer", f"{ask.request} was given {str(ask.lines)[:200]}")


def streamsRight(found, byRun):
    for ask in found.values():
        if ask.kind != "turns" or ask.status != 200:
            continue
        pieces = [line for line in ask.lines if "piece" in line]
        owners = {p["text"].split(":")[0] for p in pieces}
        if [p["piece"] for p in pieces] != list(range(1, len(pieces) + 1)):
            yield Breach("stream", f"{ask.request} skips or repeats a piece")
        if len(owners) > 1 or any(p["text"] != f"{o}:{p['piece']} " for o in owners for p in pieces):
            yield Breach("stream", f"{ask.request} splices {owners}")
        for owner in owners:
            if byRun.get(owner, {}).get("request") != ask.request:
                yield Breach("someoneElses", f"{ask.request} was given {owner}")
        if ended(ask) and (ask.lines[-1]["pieces"] != len(pieces) or not ask.whole):
            yield Breach("partialAsWhole", f"{ask.request} ends with a piece missing")


def histories(found, runs):
    programs = defaultdict(list)
    for ask in found.values():
        if ask.kind == "turns" and ended(ask):
            text = "".join(line["text"] for line in ask.lines if "piece" in line)
            programs[(ask.tenant, ask.document["program"])].append((ask.answeredMs, ask.document["input"], text))
    for request, notes in runs.items():
        ask = found.get(request)
        if ask is None or ask.kind != "turns":
            continue
        kept = sorted(programs[(ask.tenant, ask.document["program"])])
        before = [[i, t] for at, i, t in kept if at < ask.askedMs]
        for note in notes:
            if [line for line in note["history"] if line in before] != before:
                yield Breach("history", f"{request} ran without all that was answered")


def budgets(found):
    spent, most = defaultdict(int), {}
    for ask in found.values():
        if ask.kind == "turns" and ask.status == 200:
            shape = laneOf(ask.tenant, ask.lane)
            key = (ask.tenant, ask.document["program"])
            spent[key] += sum(line.get("units", 0) for line in ask.lines if "piece" in line)
            most[key] = shape["budget"] + shape["maxOutput"]
    for key, units in spent.items():
        if units > most[key]:
            yield Breach("budget", f"{key} was handed {units}")


def leaving(runnerNotes, drains, graceMs=3000):
    gone = dict(drains)
    for note in runnerNotes:
        if note["kind"] == "changed" and note["leaving"]:
            gone.setdefault(note["runner"], note["atMs"])
    for note in runnerNotes:
        sinceMs = gone.get(note.get("runner"))
        if note["kind"] == "ran" and sinceMs is not None and note["atMs"] > sinceMs + graceMs:
            yield Breach("leaving", f"{note['runner']} got work {note['atMs'] - sinceMs} ms after")


def cutMidAnswer(found):
    for ask in found.values():
        if ask.status == 200 and not ask.whole:
            yield Breach("dropped", f"{ask.request} was cut in its answer")


def judge(callerNotes, runnerNotes, drains=()):
    found = asks(callerNotes)
    runs, byRun = defaultdict(list), {}
    for note in runnerNotes:
        if note["kind"] == "ran":
            runs[note["request"]].append(note)
            byRun[note["run"]] = note
    return [
        *doubled(found, runs), *keysOnce(found, runs), *lookupsRight(found),
        *streamsRight(found, byRun), *histories(found, runs), *budgets(found),
        *leaving(runnerNotes, drains)]


def summary(callerNotes):
    found, tally = asks(callerNotes), defaultdict(int)
    took = sorted(a.answeredMs - a.askedMs for a in found.values() if a.status == 200)
    for ask in found.values():
        tally[faultOf(ask) or ("served" if ask.status == 200 else f"status {ask.status}")] += 1
    spot = {p: took[min(len(took) - 1, int(len(took) * p / 100))] for p in (50, 95, 99)} if took else {}
    return {"asked": len(found), "verdicts": dict(tally), "tookMs": spot, "mostMs": took[-1] if took else None}
