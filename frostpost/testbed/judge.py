from collections import defaultdict

from .amends import configured, drained
from .memories import histories
from .told import NOT_RUN, Breach, asks, ended, faultOf, laneOf


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
        if ended(ask) and any(len(pieces) != byRun[o]["total"] for o in owners if "total" in byRun.get(o, {})):
            yield Breach("partialAsWhole", f"{ask.request} ends before its run did")
        if ended(ask) and (ask.lines[-1]["pieces"] != len(pieces) or not ask.whole):
            yield Breach("partialAsWhole", f"{ask.request} ends with a piece missing")


def budgets(found, runs):
    spent, most = defaultdict(int), {}
    for ask in found.values():
        if ask.kind == "turns" and ask.status == 200:
            shape = laneOf(ask.tenant, ask.lane)
            key = (ask.tenant, ask.document["program"])
            spent[key] += sum(line.get("units", 0) for line in ask.lines if "piece" in line)
            turn = max([shape["maxOutput"], *(n.get("maxOutput") or 0 for n in runs[ask.request])])
            most[key] = shape["budget"] + turn
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
        if note["kind"] == "ran" and sinceMs is not None and note["atMs"] - note.get("heldMs", 0) > sinceMs + graceMs:
            yield Breach("leaving", f"{note['runner']} got work {note['atMs'] - sinceMs} ms after")


def cutMidAnswer(found, runs):
    for ask in found.values():
        if ask.status == 200 and not ask.whole:
            yield Breach("dropped", f"{ask.request} was cut in its answer")
        if ask.status == 0 and ask.answeredMs and runs.get(ask.request):
            yield Breach("dropped", f"{ask.request} ran and its link was cut: {faultOf(ask)}")


def ranBy(runnerNotes):
    runs, byRun = defaultdict(list), {}
    for note in runnerNotes:
        if note["kind"] == "ran":
            runs[note["request"]].append(note)
            byRun[note["run"]] = note
    return runs, byRun


def judge(callerNotes, runnerNotes, drains=(), planned=False):
    found = asks(callerNotes)
    runs, byRun = ranBy(runnerNotes)
    return [
        *doubled(found, runs),
        *keysOnce(found, runs),
        *lookupsRight(found),
        *streamsRight(found, byRun),
        *histories(callerNotes, found, runs),
        *budgets(found, runs),
        *leaving(runnerNotes, [*drains, *drained(callerNotes)]),
        *configured(callerNotes, byRun),
        *(cutMidAnswer(found, runs) if planned else ()),
    ]


def summary(callerNotes):
    found, tally = asks(callerNotes), defaultdict(int)
    took = sorted(a.answeredMs - a.askedMs for a in found.values() if a.status == 200)
    for ask in found.values():
        tally[faultOf(ask) or ("served" if ask.status == 200 else f"status {ask.status}")] += 1
    spot = {p: took[min(len(took) - 1, int(len(took) * p / 100))] for p in (50, 95, 99)} if took else {}
    return {"asked": len(found), "verdicts": dict(tally), "tookMs": spot, "mostMs": took[-1] if took else None}
