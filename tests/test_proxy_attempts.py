"""Tests that a request is executed by at most `attempts` runners, and that refusals may be retried elsewhere."""

import pytest
from proxy_harness import HEAD, ProxyHarness, chunk, make_route, make_runner, response_bytes
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from frostpost.program_ledger.messages import AttemptBegun, ReassignAttempt
from frostpost.proxy import failures
from frostpost.proxy.attempts import attempts_for, may_offer, record_outcome
from frostpost.proxy.outcomes import Broken, ClientLeft, Late, NotRun, NotSent

RUNNERS = [make_runner("r1"), make_runner("r2"), make_runner("r3")]
REFUSAL = response_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n")
ONE = b"id: 1\ndata: a\n\n"


def lose_connection(connection):
    connection.connectionLost(Failure(ConnectionLost()))


def connection_count(harness):
    """Return the number of connections requested so far."""
    return len(harness.reactor.tcpClients)


@pytest.mark.parametrize("attempts", [1, 2, 3])
@pytest.mark.parametrize("kind, more", [("safe", {}), ("streaming", {"resumable": True})])
def test_repeatable_request_is_executed_at_most_attempts_times(monkeypatch, kind, more, attempts):
    harness = ProxyHarness([make_route(kind=kind, attempts=attempts, **more)], RUNNERS, monkeypatch)
    harness.serve()
    for number in range(attempts):
        assert connection_count(harness) == number + 1
        lose_connection(harness.accept_connection())
    assert connection_count(harness) == attempts and [type(item) for item in harness.client_events] == [
        failures.Unknown
    ]


def test_truncated_stream_is_not_resumed_beyond_its_attempts(monkeypatch):
    harness = ProxyHarness([make_route(kind="streaming", resumable=True, attempts=1)], RUNNERS, monkeypatch)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(HEAD + chunk(ONE))
    lose_connection(connection)
    assert connection_count(harness) == 1 and harness.client_events == [("head", 200), ("data", ONE), "cut"]


def test_keyed_request_of_a_deduplicating_service_respects_attempts(monkeypatch):
    harness = ProxyHarness([make_route(kind="idempotent", attempts=1, weights=(("t", 1),))], [], monkeypatch)
    harness.agent.runners = {name: make_runner(name, service="t") for name in ("r1", "r2")}
    harness.serve(key="k")
    lose_connection(harness.accept_connection())
    assert connection_count(harness) == 1 and [type(item) for item in harness.client_events] == [failures.Unknown]


@pytest.mark.parametrize("attempts", [1, 2])
@pytest.mark.parametrize(
    "kind, more",
    [
        ("safe", {}),
        ("streaming", {"resumable": True}),
        ("streaming", {"resumable": True, "retained": True}),
    ],
)
def test_refused_repeatable_request_is_sent_to_a_second_runner(monkeypatch, kind, more, attempts):
    harness = ProxyHarness([make_route(kind=kind, attempts=attempts, **more)], RUNNERS, monkeypatch)
    harness.results[ReassignAttempt] = AttemptBegun("r2", ())
    harness.serve()
    harness.accept_connection().dataReceived(REFUSAL)
    assert harness.client_events == [] and connection_count(harness) == 2
    harness.accept_connection().dataReceived(REFUSAL)
    assert [type(item) for item in harness.client_events] == [failures.Overloaded] and connection_count(harness) == 2


@pytest.mark.parametrize("kind, more", [("unsafe", {}), ("idempotent", {}), ("streaming", {"retained": True})])
def test_refused_request_is_sent_to_at_most_attempts_runners(monkeypatch, kind, more):
    harness = ProxyHarness([make_route(kind=kind, attempts=2, **more)], RUNNERS, monkeypatch)
    harness.results[ReassignAttempt] = AttemptBegun("r2", ())
    harness.serve(key="k")
    harness.accept_connection().dataReceived(REFUSAL)
    assert harness.client_events == [] and connection_count(harness) == 2
    harness.accept_connection().dataReceived(REFUSAL)
    assert [type(item) for item in harness.client_events] == [failures.Overloaded] and connection_count(harness) == 2


def test_only_sends_that_may_have_been_executed_count_as_runs():
    attempts = attempts_for(make_route(attempts=2), True)
    for outcome in (NotSent("connect"), NotRun(503), Broken("x")):
        assert may_offer(attempts)
        record_outcome(attempts, outcome)
    assert (attempts.runs, attempts.offers, may_offer(attempts)) == (1, 2, False)


@pytest.mark.parametrize("outcome", [Broken("x"), Late(), ClientLeft()])
def test_non_repeatable_request_is_not_resent_if_it_may_have_run(outcome):
    attempts = attempts_for(make_route(attempts=3), False)
    record_outcome(attempts, outcome)
    assert not may_offer(attempts)
