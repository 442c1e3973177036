"""What a daemon may still do, and what it answers, once its lease, its time or its claim is gone."""

import pytest
from expression import Ok
from proxy_harness import HEAD, ProxyHarness, answer_bytes, chunk, make_route, make_runner
from twisted.internet.defer import Deferred

from frostpost.program_ledger.messages import (
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    ClaimOperationKey,
    EndAttempt,
    KeyClaimed,
    NoAttempt,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.proxy import failures

REFUSAL = answer_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n")
ONE = b"id: 1\ndata: a\n\n"


def make_harness(monkeypatch, kind, **route):
    return ProxyHarness([make_route(kind=kind, **route)], [make_runner("r1")], monkeypatch)


def types_of(items):
    return [type(item) for item in items]


def test_an_answer_under_a_key_that_is_another_attempts_is_not_handed_over(monkeypatch):
    harness = make_harness(monkeypatch, "idempotent")
    harness.results[ResolveOperationKey] = NoAttempt("a1")
    harness.serve(key="k")
    harness.accept_connection().dataReceived(answer_bytes())
    assert types_of(harness.client_events) == [failures.Unknown]


def test_a_turn_that_the_ledger_does_not_know_any_more_is_not_ended_whole(monkeypatch):
    harness = make_harness(monkeypatch, "streaming", retained=True, retention_ms=9000)
    harness.results[EndAttempt] = NoAttempt("a1")
    harness.serve()
    harness.accept_connection().dataReceived(HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert harness.client_events == [("head", 200), ("data", ONE), "cut"]


def test_a_refused_key_is_answered_before_its_claim_is_withdrawn(monkeypatch):
    harness = make_harness(monkeypatch, "idempotent", attempts=1)
    harness.results[ReleaseOperationKey] = Deferred()
    harness.serve(key="k")
    harness.accept_connection().dataReceived(REFUSAL)
    assert (
        types_of(harness.client_events) == [failures.Overloaded]
        and harness.operations[-1] == ReleaseOperationKey("h|k", "a1")
        and harness.agent.flights == 1
    )
    harness.results[ReleaseOperationKey].callback(Ok(AttemptEnded()))
    assert harness.agent.flights == 0 and len(harness.client_events) == 1


@pytest.mark.parametrize("kind, operation", [("idempotent", ResolveOperationKey), ("streaming", EndAttempt)])
def test_an_answer_that_is_not_made_to_last_is_given_up_soon_after_its_time(monkeypatch, kind, operation):
    harness = make_harness(monkeypatch, kind, retained=kind == "streaming", retention_ms=9000)
    harness.wait_times_ms = {}
    kept = harness.call_replicas
    for module in ("idempotency", "turn"):
        monkeypatch.setattr(
            f"frostpost.proxy.{module}.call_replicas", lambda agent, op, ms: noted(harness, kept, agent, op, ms)
        )
    harness.serve(key="k", deadline_ms=1000)
    connection = harness.accept_connection()
    harness.reactor.advance(0.99)
    connection.dataReceived(answer_bytes() if kind == "idempotent" else HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert 10 <= harness.wait_times_ms[operation] < 250


def noted(harness, kept, agent, op, ms):
    harness.wait_times_ms[type(op)] = ms
    return kept(agent, op, ms)


@pytest.mark.parametrize(
    "kind, operation, verdict",
    [
        ("idempotent", ClaimOperationKey, KeyClaimed()),
        ("streaming", BeginAttempt, AttemptBegun("r1", ())),
    ],
)
@pytest.mark.parametrize("change", ["lease", "time", "runner"])
def test_nothing_is_sent_when_what_allowed_it_ended_while_the_ledger_was_asked(
    monkeypatch, kind, operation, verdict, change
):
    harness = make_harness(monkeypatch, kind, retained=kind == "streaming", retention_ms=9000)
    harness.results[operation] = asked = Deferred()
    harness.serve(key="k", deadline_ms=1000)
    if change == "lease":
        harness.has_lease = False
    elif change == "time":
        harness.reactor.advance(1.1)
    else:
        harness.agent.runners = {}
    asked.callback(Ok(verdict))
    for _ in range(30):
        harness.reactor.advance(0.02)
    assert harness.reactor.tcpClients == []
    assert len(harness.client_events) == 1 and type(harness.client_events[0]) in (
        failures.Unavailable,
        failures.Overloaded,
    )


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
def test_nothing_is_written_on_a_connection_that_comes_up_after_the_lease(monkeypatch, kind):
    harness = make_harness(monkeypatch, kind)
    harness.serve(key="k")
    harness.has_lease = False
    connection = harness.accept_connection()
    for _ in range(30):
        harness.reactor.advance(0.02)
    assert connection.transport.value() == b"" and types_of(harness.client_events) == [failures.Unavailable]


def test_a_key_whose_answer_comes_after_the_lease_gets_no_success(monkeypatch):
    harness = make_harness(monkeypatch, "idempotent")
    harness.results[ResolveOperationKey] = failures.Unavailable(9)
    harness.serve(key="k")
    connection = harness.accept_connection()
    harness.has_lease = False
    connection.dataReceived(answer_bytes())
    assert types_of(harness.client_events) == [failures.Unknown] and types_of(harness.background_operations) == [
        ResolveOperationKey
    ]
