"""Judge a run by the notes of callers and runners alone."""

from collections import defaultdict
from itertools import pairwise

from .amends import configured, drained
from .memories import histories
from .told import NOT_RUN, Breach, asks, ended, error_of, route_of


def doubled(found, runs):
    """Yield breaches: requests that ran twice, for nobody, after a refusal, or on a wrong runner."""
    for request, ran in runs.items():
        ask = found.get(request)
        if ask is None:
            yield Breach("stranger", f"{request} ran and nobody asked it")
            continue
        shape = route_of(ask.tenant, ask.route)
        if shape.get("repeat", "once") != "free" and len(ran) > 1:
            yield Breach("twice", f"{request} ran {len(ran)} times")
        if ran and ask.status and error_of(ask) in NOT_RUN:
            yield Breach("ran_after_refusal", f"{request} was told {error_of(ask)} and ran")
        for note in ran:
            if note["pool"] not in shape["pools"]:
                yield Breach("not_allowed", f"{request} reached {note['runner']}")


def keys_once(found, runs):
    """Yield breaches: idempotency keys that ran twice within their window."""
    ran = defaultdict(list)
    for request, notes in runs.items():
        ask = found.get(request)
        if ask and "key" in ask.document:
            ran[(ask.tenant, ask.route, ask.document["key"])] += [n["at_ms"] for n in notes]
    for key, times in ran.items():
        times.sort()
        if any(b - a < 60000 for a, b in pairwise(times)):
            yield Breach("key_twice", f"{key} ran at {times}")


def lookups_right(found):
    """Yield breaches: lookups with somebody else's answer."""
    for ask in found.values():
        if ask.kind != "lookups" or ask.status != 200:
            continue
        if not ask.whole or ask.lines[0].get("result", {}).get("echo") != ask.document["input"]:
            yield Breach("wrong_answer", f"{ask.request} was given {str(ask.lines)[:200]}")


def streams_right(found, by_run):
    """Yield breaches: streams that skip, repeat, mix or end early."""
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
            if by_run.get(owner, {}).get("request") != ask.request:
                yield Breach("someone_elses", f"{ask.request} was given {owner}")
        if ended(ask) and any(len(pieces) != by_run[o]["total"] for o in owners if "total" in by_run.get(o, {})):
            yield Breach("partial_as_whole", f"{ask.request} ends before its run did")
        if ended(ask) and (ask.lines[-1]["pieces"] != len(pieces) or not ask.whole):
            yield Breach("partial_as_whole", f"{ask.request} ends with a piece missing")


def budgets(found, runs):
    """Yield breaches: programs that got more than their budget."""
    spent, most = defaultdict(int), {}
    for ask in found.values():
        if ask.kind == "turns" and ask.status == 200:
            shape = route_of(ask.tenant, ask.route)
            key = (ask.tenant, ask.document["program"])
            spent[key] += sum(line.get("units", 0) for line in ask.lines if "piece" in line)
            turn = max([shape["max_output"], *(n.get("max_output") or 0 for n in runs[ask.request])])
            most[key] = shape["budget"] + turn
    for key, units in spent.items():
        if units > most[key]:
            yield Breach("budget", f"{key} was handed {units}")


def leaving(runner_notes, drains, grace_ms=3000):
    """Yield breaches: work sent to a runner after it was drained."""
    gone = dict(drains)
    for note in runner_notes:
        if note["kind"] == "changed" and note["leaving"]:
            gone.setdefault(note["runner"], note["at_ms"])
    for note in runner_notes:
        since_ms = gone.get(note.get("runner"))
        if (
            note["kind"] == "ran"
            and since_ms is not None
            and note["at_ms"] - note.get("held_ms", 0) > since_ms + grace_ms
        ):
            yield Breach("leaving", f"{note['runner']} got work {note['at_ms'] - since_ms} ms after")


def cut_mid_answer(found, runs):
    """Yield breaches: answers cut off in planned work."""
    for ask in found.values():
        if ask.status == 200 and not ask.whole:
            yield Breach("dropped", f"{ask.request} was cut in its answer")
        if ask.status == 0 and ask.answered_ms and runs.get(ask.request):
            yield Breach("dropped", f"{ask.request} ran and its link was cut: {error_of(ask)}")


def ran_by(runner_notes):
    """Return (runs by request, run by id)."""
    runs, by_run = defaultdict(list), {}
    for note in runner_notes:
        if note["kind"] == "ran":
            runs[note["request"]].append(note)
            by_run[note["run"]] = note
    return runs, by_run


def judge(caller_notes, runner_notes, drains=(), planned=False):
    """Return all breaches; planned: no answer may be cut off."""
    found = asks(caller_notes)
    runs, by_run = ran_by(runner_notes)
    return [
        *doubled(found, runs),
        *keys_once(found, runs),
        *lookups_right(found),
        *streams_right(found, by_run),
        *histories(caller_notes, found, runs),
        *budgets(found, runs),
        *leaving(runner_notes, [*drains, *drained(caller_notes)]),
        *configured(caller_notes, by_run),
        *(cut_mid_answer(found, runs) if planned else ()),
    ]


def summary(caller_notes):
    """Return counts of results and latencies in milliseconds."""
    found, tally = asks(caller_notes), defaultdict(int)
    took = sorted(a.answered_ms - a.asked_ms for a in found.values() if a.status == 200)
    for ask in found.values():
        tally[error_of(ask) or ("served" if ask.status == 200 else f"status {ask.status}")] += 1
    spot = {p: took[min(len(took) - 1, int(len(took) * p / 100))] for p in (50, 95, 99)} if took else {}
    return {"asked": len(found), "results": dict(tally), "took_ms": spot, "most_ms": took[-1] if took else None}
