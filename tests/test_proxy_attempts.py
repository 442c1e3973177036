"""A try runs at no more runners than its route allows; what surely was not run may go elsewhere."""

import pytest
from proxy_harness import HEAD, ProxyHarness, answer_bytes, chunk, make_route, make_runner
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from frostpost.program_ledger.messages import AttemptBegun, ReassignAttempt
from frostpost.proxy import failures
from frostpost.proxy.attempts import attempts_for, may_offer, record_outcome
from frostpost.proxy.outcomes import Broken, ClientLeft, Late, NotRun, NotSent

RUNNERS = [make_runner("r1"), make_runner("r2"), make_runner("r3")]
REFUSAL = answer_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n")
ONE = b"id: 1\ndata: a\n\n"


def lose_connection(connection):
    connection.connectionLost(Failure(ConnectionLost()))


def opened(harness):
    """Connections that were asked for."""
    return len(harness.reactor.tcpClients)


@pytest.mark.parametrize("attempts", [1, 2, 3])
@pytest.mark.parametrize("kind, more", [("safe", {}), ("streaming", {"resumable": True})])
def test_a_repeatable_try_runs_at_no_more_runners_than_its_route_allows(monkeypatch, kind, more, attempts):
    harness = ProxyHarness([make_route(kind=kind, attempts=attempts, **more)], RUNNERS, monkeypatch)
    harness.serve()
    for number in range(attempts):
        assert opened(harness) == number + 1
        lose_connection(harness.accept_connection())
    assert opened(harness) == attempts and [type(item) for item in harness.client_events] == [failures.Unknown]


def test_a_stream_cut_midway_is_not_resumed_beyond_its_attempts(monkeypatch):
    harness = ProxyHarness([make_route(kind="streaming", resumable=True, attempts=1)], RUNNERS, monkeypatch)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(HEAD + chunk(ONE))
    lose_connection(connection)
    assert opened(harness) == 1 and harness.client_events == [("head", 200), ("data", ONE), "cut"]


def test_a_keyed_request_of_a_service_with_its_own_record_keeps_to_its_attempts(monkeypatch):
    harness = ProxyHarness([make_route(kind="idempotent", attempts=1, weights=(("t", 1),))], [], monkeypatch)
    harness.agent.runners = {name: make_runner(name, service="t") for name in ("r1", "r2")}
    harness.serve(key="k")
    lose_connection(harness.accept_connection())
    assert opened(harness) == 1 and [type(item) for item in harness.client_events] == [failures.Unknown]


@pytest.mark.parametrize("attempts", [1, 2])
@pytest.mark.parametrize(
    "kind, more",
    [
        ("safe", {}),
        ("streaming", {"resumable": True}),
        ("streaming", {"resumable": True, "retained": True}),
    ],
)
def test_a_repeatable_try_that_was_refused_goes_to_another_runner_even_with_one_attempt(
    monkeypatch, kind, more, attempts
):
    harness = ProxyHarness([make_route(kind=kind, attempts=attempts, **more)], RUNNERS, monkeypatch)
    harness.results[ReassignAttempt] = AttemptBegun("r2", ())
    harness.serve()
    harness.accept_connection().dataReceived(REFUSAL)
    assert harness.client_events == [] and opened(harness) == 2
    harness.accept_connection().dataReceived(REFUSAL)
    assert [type(item) for item in harness.client_events] == [failures.Overloaded] and opened(harness) == 2


@pytest.mark.parametrize("kind, more", [("unsafe", {}), ("idempotent", {}), ("streaming", {"retained": True})])
def test_other_tries_are_offered_to_as_many_runners_as_their_route_allows(monkeypatch, kind, more):
    harness = ProxyHarness([make_route(kind=kind, attempts=2, **more)], RUNNERS, monkeypatch)
    harness.results[ReassignAttempt] = AttemptBegun("r2", ())
    harness.serve(key="k")
    harness.accept_connection().dataReceived(REFUSAL)
    assert harness.client_events == [] and opened(harness) == 2
    harness.accept_connection().dataReceived(REFUSAL)
    assert [type(item) for item in harness.client_events] == [failures.Overloaded] and opened(harness) == 2


def test_only_sends_that_may_have_run_count_as_runs():
    attempts = attempts_for(make_route(attempts=2), True)
    for outcome in (NotSent("connect"), NotRun(503), Broken("x")):
        assert may_offer(attempts)
        record_outcome(attempts, outcome)
    assert (attempts.runs, attempts.offers, may_offer(attempts)) == (1, 2, False)


@pytest.mark.parametrize("outcome", [Broken("x"), Late(), ClientLeft()])
def test_what_may_have_run_and_is_not_repeatable_goes_nowhere_else(outcome):
    attempts = attempts_for(make_route(attempts=3), False)
    record_outcome(attempts, outcome)
    assert not may_offer(attempts)
