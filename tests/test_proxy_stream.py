import pytest
from expression import Error, Ok
from proxy_harness import HEAD, HOLDERS, ProxyHarness, chunk, make_route, make_runner, response_bytes, types_of
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
RUNNERS = [make_runner("r1"), make_runner("r2")]
REFUSAL = response_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n")


def make_harness(monkeypatch, **route):
    return ProxyHarness(
        [make_route(**{"kind": "streaming", "retained": True, "retention_ms": 9000, **route})], RUNNERS, monkeypatch
    )


def lose_connection(connection):
    connection.connectionLost(Failure(ConnectionLost()))


def test_response_ends_only_when_the_turn_is_durable(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.bodies = {"p": b"old"}
    harness.results.update({BeginAttempt: AttemptBegun("r1", ("p",)), EndAttempt: Deferred(), "put": Deferred()})
    harness.serve(program="g", budget=9, previous_turn="p", max_output_tokens=5)
    assert harness.operations[0].candidates == (Candidate("r1", 4), Candidate("r2", 4))
    connection = harness.accept_connection()
    assert connection.transport.value().endswith(b"\r\n\r\noldin")
    connection.dataReceived(HEAD + chunk(ONE + TWO[:4]))
    assert harness.client_events == [("head", 200), ("data", ONE)]
    connection.dataReceived(chunk(TWO[4:]) + b"0\r\n\r\n")
    assert harness.client_events == [("head", 200), ("data", ONE), ("data", TWO)]
    assert harness.operations[1] == EndAttempt("a1", 4, 9000 + 10 * 500, 6) and harness.stored_bodies == [
        ("a1", b"ina\nb\n")
    ]
    harness.results[EndAttempt].callback(Ok(AttemptEnded()))
    assert harness.client_events[-1] == ("data", TWO)
    harness.results["put"].callback(Ok(Synced(HOLDERS)))
    assert harness.client_events[-1] == "end" and harness.background_operations == []


def test_body_is_stored_again_if_its_holders_lost_the_majority(monkeypatch):
    harness = make_harness(monkeypatch)
    end_result, second_put = Deferred(), Deferred()
    harness.results.update({EndAttempt: end_result, "put": [Ok(Synced(HOLDERS)), second_put]})
    harness.serve(program="g", budget=9, max_output_tokens=5)
    harness.accept_connection().dataReceived(HEAD + chunk(ONE + TWO) + b"0\r\n\r\n")
    harness.voters = frozenset({"others"})
    end_result.callback(Ok(AttemptEnded()))
    assert len(harness.stored_bodies) == 2 and harness.client_events[-1] != "end"
    second_put.callback(Ok(Synced(harness.voters)))
    assert harness.client_events[-1] == "end" and harness.background_operations == []


def test_stream_is_aborted_if_the_body_cannot_be_stored_again(monkeypatch):
    harness = make_harness(monkeypatch)
    end_result = Deferred()
    harness.results.update({EndAttempt: end_result, "put": [Ok(Synced(HOLDERS)), Error(failures.Unavailable(9))]})
    harness.serve(program="g", budget=9, max_output_tokens=5)
    harness.accept_connection().dataReceived(HEAD + chunk(ONE + TWO) + b"0\r\n\r\n")
    harness.voters = frozenset({"others"})
    end_result.callback(Ok(AttemptEnded()))
    assert harness.client_events[-1] == "cut"


@pytest.mark.parametrize(
    "results",
    [
        {EndAttempt: failures.Unavailable(9)},
        {"put": Error(failures.Unavailable(9))},
    ],
)
def test_stream_is_aborted_if_the_turn_may_not_be_durable(monkeypatch, results):
    harness = make_harness(monkeypatch)
    harness.results.update(results)
    harness.serve()
    harness.accept_connection().dataReceived(HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert harness.client_events[-1] == "cut" and "end" not in harness.client_events


def test_interrupted_stream_is_aborted_and_its_tokens_counted(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(HEAD + chunk(ONE) + chunk(TWO[:5]))
    lose_connection(connection)
    assert harness.client_events == [("head", 200), ("data", ONE), "cut"]
    assert harness.background_operations == [EndAttempt("a1", 2)] and len(harness.reactor.tcpClients) == 1


def test_failure_before_the_head_is_unknown_and_not_retried(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve()
    lose_connection(harness.accept_connection())
    assert types_of(harness.client_events) == [failures.Unknown] and harness.background_operations == [
        EndAttempt("a1", 0)
    ]
    assert len(harness.reactor.tcpClients) == 1


@pytest.mark.parametrize(
    "result, failure, background_operations",
    [
        (TokensSpent(1, 1), failures.BudgetSpent, []),
        (NoTurn("p"), failures.UnknownTurn, []),
        (NoCapacity(20), failures.Overloaded, [AbortAttempt("a1")]),
        (failures.Unavailable(9), failures.Unavailable, [AbortAttempt("a1")]),
        (AttemptBegun("r1", ("lost",)), failures.Unavailable, [AbortAttempt("a1")]),
    ],
)
def test_ledger_refusal_prevents_the_send(monkeypatch, result, failure, background_operations):
    harness = make_harness(monkeypatch)
    harness.results[BeginAttempt] = result
    harness.serve(program="g")
    for _ in range(6):
        harness.reactor.advance(0.02)
    assert (
        types_of(harness.client_events) == [failure]
        and harness.background_operations == background_operations
        and harness.reactor.tcpClients == []
    )


def test_refused_turn_is_reassigned_then_aborted(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.results[ReassignAttempt] = AttemptBegun("r2", ())
    harness.serve()
    harness.accept_connection().dataReceived(REFUSAL)
    assert harness.operations[1] == ReassignAttempt("a1", (Candidate("r2", 4),))
    harness.accept_connection().dataReceived(REFUSAL)
    assert types_of(harness.client_events) == [failures.Overloaded] and harness.background_operations == [
        AbortAttempt("a1")
    ]


def test_client_disconnect_stops_the_execution_and_counts_its_tokens(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(HEAD + chunk(ONE))
    harness.disconnect_client()
    assert (
        connection.unusable
        and harness.background_operations == [EndAttempt("a1", 2)]
        and harness.client_events[-1] == ("data", ONE)
    )


def test_resumable_stream_continues_in_the_same_response(monkeypatch):
    harness = make_harness(monkeypatch, retained=False, resumable=True)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(HEAD + chunk(ONE + TWO[:9]))
    lose_connection(connection)
    second = harness.accept_connection()
    assert b"Last: 1\r\n" in second.transport.value()
    second.dataReceived(HEAD + chunk(TWO) + b"0\r\n\r\n")
    assert harness.client_events == [("head", 200), ("data", ONE), ("data", TWO), "end"] and harness.operations == []


def test_resumed_stream_that_restarts_is_aborted(monkeypatch):
    harness = make_harness(monkeypatch, retained=False, resumable=True)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(HEAD + chunk(ONE))
    lose_connection(connection)
    harness.accept_connection().dataReceived(HEAD + chunk(ONE + TWO) + b"0\r\n\r\n")
    assert harness.client_events == [("head", 200), ("data", ONE), "cut"]


def test_runner_error_is_forwarded_without_charging_tokens(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve()
    harness.accept_connection().dataReceived(response_bytes(b"bad", status=b"500 Bad", headers=b""))
    assert harness.client_events == [("head", 500), ("data", b"bad"), "end"] and harness.background_operations == [
        EndAttempt("a1", 0)
    ]


def test_close_delimited_stream_is_never_complete(monkeypatch):
    harness = make_harness(monkeypatch, retained=False)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"") + ONE)
    lose_connection(connection)
    assert harness.client_events == [("head", 200), ("data", ONE), "cut"]
