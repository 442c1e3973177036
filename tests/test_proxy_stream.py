import pytest
from expression import Error, Ok
from proxy_harness import HEAD, HOLDERS, Stage, a_route, a_runner, answer_bytes, chunk
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    Candidate,
    EndAttempt,
    NoCapacity,
    NoTurn,
    ReassignAttempt,
    TokensSpent,
)
from frostpost.proxy import failures
from frostpost.turn_store.client import Synced

ONE, TWO = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
RUNNERS = [a_runner("r1"), a_runner("r2")]
REFUSED = answer_bytes(b"", status=b"503 Full", more=b"Not-Run: 1\r\n")


def stage(monkeypatch, **more):
    return Stage(
        [a_route(**{"kind": "streaming", "retained": True, "retention_ms": 9000, **more})], RUNNERS, monkeypatch
    )


def lose(wire):
    wire.connectionLost(Failure(ConnectionLost()))


def kinds(items):
    return [type(item) for item in items]


def test_a_turn_ends_for_the_client_only_when_it_lasts(monkeypatch):
    s = stage(monkeypatch)
    s.chain = {"p": b"old"}
    s.verdicts.update({BeginAttempt: AttemptBegun("r1", ("p",)), EndAttempt: Deferred(), "put": Deferred()})
    s.serve(program="g", budget=9, previous_turn="p", max_output_tokens=5)
    assert s.asked[0].candidates == (Candidate("r1", 4), Candidate("r2", 4))
    wire = s.connect()
    assert wire.transport.value().endswith(b"\r\n\r\noldin")
    wire.dataReceived(HEAD + chunk(ONE + TWO[:4]))
    assert s.seen == [("head", 200), ("data", ONE)]
    wire.dataReceived(chunk(TWO[4:]) + b"0\r\n\r\n")
    assert s.seen == [("head", 200), ("data", ONE), ("data", TWO)]
    assert s.asked[1] == EndAttempt("a1", 4, 9000 + 10 * 500, 6) and s.puts == [("a1", b"ina\nb\n")]
    s.verdicts[EndAttempt].callback(Ok(AttemptEnded()))
    assert s.seen[-1] == ("data", TWO)
    s.verdicts["put"].callback(Ok(Synced(HOLDERS)))
    assert s.seen[-1] == "end" and s.told == []


def test_a_turn_whose_holders_are_no_majority_any_more_is_put_again_before_it_ends(monkeypatch):
    s = stage(monkeypatch)
    end, again = Deferred(), Deferred()
    s.verdicts.update({EndAttempt: end, "put": [Ok(Synced(HOLDERS)), again]})
    s.serve(program="g", budget=9, max_output_tokens=5)
    s.connect().dataReceived(HEAD + chunk(ONE + TWO) + b"0\r\n\r\n")
    s.voters = frozenset({"others"})
    end.callback(Ok(AttemptEnded()))
    assert len(s.puts) == 2 and s.seen[-1] != "end"
    again.callback(Ok(Synced(s.voters)))
    assert s.seen[-1] == "end" and s.told == []


def test_a_turn_that_is_not_put_again_in_time_is_cut(monkeypatch):
    s = stage(monkeypatch)
    end = Deferred()
    s.verdicts.update({EndAttempt: end, "put": [Ok(Synced(HOLDERS)), Error(failures.Unavailable(9))]})
    s.serve(program="g", budget=9, max_output_tokens=5)
    s.connect().dataReceived(HEAD + chunk(ONE + TWO) + b"0\r\n\r\n")
    s.voters = frozenset({"others"})
    end.callback(Ok(AttemptEnded()))
    assert s.seen[-1] == "cut"


@pytest.mark.parametrize(
    "verdicts",
    [
        {EndAttempt: failures.Unavailable(9)},
        {"put": Error(failures.Unavailable(9))},
    ],
)
def test_a_turn_that_may_not_last_is_cut(monkeypatch, verdicts):
    s = stage(monkeypatch)
    s.verdicts.update(verdicts)
    s.serve()
    s.connect().dataReceived(HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert s.seen[-1] == "cut" and "end" not in s.seen


def test_a_stream_that_breaks_off_is_cut_and_counted(monkeypatch):
    s = stage(monkeypatch)
    s.serve()
    wire = s.connect()
    wire.dataReceived(HEAD + chunk(ONE) + chunk(TWO[:5]))
    lose(wire)
    assert s.seen == [("head", 200), ("data", ONE), "cut"]
    assert s.told == [EndAttempt("a1", 2)] and len(s.reactor.tcpClients) == 1


def test_before_its_head_a_broken_stream_is_unknown_and_not_sent_again(monkeypatch):
    s = stage(monkeypatch)
    s.serve()
    lose(s.connect())
    assert kinds(s.seen) == [failures.Unknown] and s.told == [EndAttempt("a1", 0)]
    assert len(s.reactor.tcpClients) == 1


@pytest.mark.parametrize(
    "verdict, failure, told",
    [
        (TokensSpent(1, 1), failures.BudgetSpent, []),
        (NoTurn("p"), failures.UnknownTurn, []),
        (NoCapacity(20), failures.Overloaded, [AbortAttempt("a1")]),
        (failures.Unavailable(9), failures.Unavailable, [AbortAttempt("a1")]),
        (AttemptBegun("r1", ("lost",)), failures.Unavailable, [AbortAttempt("a1")]),
    ],
)
def test_refusals_come_before_anything_is_sent(monkeypatch, verdict, failure, told):
    s = stage(monkeypatch)
    s.verdicts[BeginAttempt] = verdict
    s.serve(program="g")
    for _ in range(6):
        s.reactor.advance(0.02)
    assert kinds(s.seen) == [failure] and s.told == told and s.reactor.tcpClients == []


def test_a_refused_turn_is_moved_then_aborted(monkeypatch):
    s = stage(monkeypatch)
    s.verdicts[ReassignAttempt] = AttemptBegun("r2", ())
    s.serve()
    s.connect().dataReceived(REFUSED)
    assert s.asked[1] == ReassignAttempt("a1", (Candidate("r2", 4),))
    s.connect().dataReceived(REFUSED)
    assert kinds(s.seen) == [failures.Overloaded] and s.told == [AbortAttempt("a1")]


def test_when_the_client_leaves_the_run_is_stopped_and_counted(monkeypatch):
    s = stage(monkeypatch)
    s.serve()
    wire = s.connect()
    wire.dataReceived(HEAD + chunk(ONE))
    s.gone()
    assert wire.unusable and s.told == [EndAttempt("a1", 2)] and s.seen[-1] == ("data", ONE)


def test_a_resumable_stream_goes_on_inside_the_same_answer(monkeypatch):
    s = stage(monkeypatch, retained=False, resumable=True)
    s.serve()
    wire = s.connect()
    wire.dataReceived(HEAD + chunk(ONE + TWO[:9]))
    lose(wire)
    second = s.connect()
    assert b"Last: 1\r\n" in second.transport.value()
    second.dataReceived(HEAD + chunk(TWO) + b"0\r\n\r\n")
    assert s.seen == [("head", 200), ("data", ONE), ("data", TWO), "end"] and s.asked == []


def test_a_stream_taken_up_that_begins_again_is_cut(monkeypatch):
    s = stage(monkeypatch, retained=False, resumable=True)
    s.serve()
    wire = s.connect()
    wire.dataReceived(HEAD + chunk(ONE))
    lose(wire)
    s.connect().dataReceived(HEAD + chunk(ONE + TWO) + b"0\r\n\r\n")
    assert s.seen == [("head", 200), ("data", ONE), "cut"]


def test_a_runners_own_failure_is_passed_on_and_counts_nothing(monkeypatch):
    s = stage(monkeypatch)
    s.serve()
    s.connect().dataReceived(answer_bytes(b"bad", status=b"500 Bad", more=b""))
    assert s.seen == [("head", 500), ("data", b"bad"), "end"] and s.told == [EndAttempt("a1", 0)]


def test_a_close_delimited_stream_is_never_whole(monkeypatch):
    s = stage(monkeypatch, retained=False)
    s.serve()
    wire = s.connect()
    wire.dataReceived(HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"") + ONE)
    lose(wire)
    assert s.seen == [("head", 200), ("data", ONE), "cut"]
