import pytest

from frostpost.scarecrow.judge import cutMidAnswer, asks, judge

PATH = "/v1/tenants/hlidar/lanes/{}/{}"


def asked(request, lane, kind, atMs=0, **document):
    return {"kind": "asked", "request": request, "path": PATH.format(lane, kind),
            "document": {"input": "x", **document}, "atMs": atMs}


def answered(request, lines, status=200, whole=True, atMs=100):
    return {"kind": "answered", "request": request, "status": status, "whole": whole, "lines": lines, "atMs": atMs}


def ran(request, run, pool="hlookup", atMs=50, runner="r", history=None):
    return {"kind": "ran", "request": request, "run": run, "pool": pool, "atMs": atMs, "runner": runner,
            "history": history or []}


def pieces(run, numbers):
    return [{"piece": n, "text": f"{run}:{k} ", "units": 1} for n, k in numbers]


TURN = asked("t1", "check", "turns", program="p")
WHOLE = [*pieces("a", [(1, 1), (2, 2)]), {"end": True, "pieces": 2, "units": 2}]
CASES = {
    "twice": ([asked("q", "rates", "lookups"), answered("q", [], 502)], [ran("q", "a"), ran("q", "b")]),
    "ranAfterTurnedAway": (
        [asked("q", "rates", "lookups"), answered("q", [{"fault": {"type": "Crowded"}}], 429)], [ran("q", "a")]),
    "keyTwice": (
        [asked("q", "claims", "lookups", key="k"), asked("w", "claims", "lookups", key="k")],
        [ran("q", "a"), ran("w", "b", atMs=59000)]),
    "wrongAnswer": (
        [asked("q", "rates", "lookups"), answered("q", [{"result": {"echo": "other"}}])], [ran("q", "a")]),
    "someoneElses": ([TURN, answered("t1", WHOLE)], [ran("t2", "a", "hmodel")]),
    "partialAsWhole": (
        [TURN, answered("t1", [*pieces("a", [(1, 1)]), {"end": True, "pieces": 2, "units": 2}])],
        [ran("t1", "a", "hmodel")]),
    "stream": ([TURN, answered("t1", pieces("a", [(1, 1), (3, 3)]))], [ran("t1", "a", "hmodel")]),
    "budget": (
        [TURN, answered("t1", [{"piece": 1, "text": "a:1 ", "units": 217}])], [ran("t1", "a", "hmodel")]),
    "history": (
        [TURN, answered("t1", WHOLE), asked("t2", "check", "turns", atMs=200, program="p")],
        [ran("t1", "a", "hmodel"), ran("t2", "b", "hmodel", atMs=250)]),
    "notAllowed": ([asked("q", "rates", "lookups")], [ran("q", "a", "tmodel")]),
    "stranger": ([], [ran("q", "a")]),
    "leaving": (
        [asked("q", "rates", "lookups")],
        [{"kind": "changed", "runner": "r", "leaving": True, "atMs": 0}, ran("q", "a", atMs=3001)]),
}


@pytest.mark.parametrize("never", sorted(CASES))
def test_each_breach_is_seen(never):
    callers, runners = CASES[never]
    assert never in {b.never for b in judge(callers, runners)}


def test_a_right_story_has_no_breach():
    kept = [["x", "a:1 a:2 "]]
    callers = [TURN, answered("t1", WHOLE), asked("t2", "check", "turns", atMs=200, program="p"),
               asked("q", "rates", "lookups"), answered("q", [{"result": {"echo": "x"}}])]
    runners = [ran("t1", "a", "hmodel"), ran("t2", "b", "hmodel", atMs=250, history=kept), ran("q", "c")]
    assert judge(callers, runners) == []


def test_a_cut_answer_is_seen():
    assert list(cutMidAnswer(asks([TURN, answered("t1", [], whole=False)])))
