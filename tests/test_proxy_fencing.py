"""Tests that nothing is sent or confirmed after the loss of a lease, a deadline or a claim."""

import pytest
from expression import Ok
from proxy_harness import HEAD, ProxyHarness, chunk, make_route, make_runner, response_bytes, types_of
from twisted.internet.defer import Deferred

from frostpost.program_ledger.key_messages import (
    ClaimOperationKey,
    KeyClaimed,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.program_ledger.messages import AttemptBegun, AttemptEnded, BeginAttempt, EndAttempt, NoAttempt
from frostpost.proxy import failures

REFUSAL = response_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n")
ONE = b"id: 1\ndata: a\n\n"


def make_harness(monkeypatch, kind, **route):
    return ProxyHarness([make_route(kind=kind, **route)], [make_runner("r1")], monkeypatch)


def test_response_is_withheld_if_the_key_is_claimed_by_another_attempt(monkeypatch):
    harness = make_harness(monkeypatch, "idempotent")
    harness.results[ResolveOperationKey] = NoAttempt("a1")
    harness.serve(key="k")
    harness.accept_connection().dataReceived(response_bytes())
    assert types_of(harness.client_events) == [failures.Unknown]


def test_stream_is_aborted_if_the_ledger_has_dropped_its_attempt(monkeypatch):
    harness = make_harness(monkeypatch, "streaming", retained=True, retention_ms=9000)
    harness.results[EndAttempt] = NoAttempt("a1")
    harness.serve()
    harness.accept_connection().dataReceived(HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert harness.client_events == [("head", 200), ("data", ONE), "cut"]


def test_refusal_is_sent_before_the_claim_is_released(monkeypatch):
    harness = make_harness(monkeypatch, "idempotent", attempts=1)
    harness.results[ReleaseOperationKey] = Deferred()
    harness.serve(key="k")
    harness.accept_connection().dataReceived(REFUSAL)
    assert (
        types_of(harness.client_events) == [failures.Overloaded]
        and harness.operations[-1] == ReleaseOperationKey("h|k", "a1")
        and harness.agent.requests_in_flight == 1
    )
    harness.results[ReleaseOperationKey].callback(Ok(AttemptEnded()))
    assert harness.agent.requests_in_flight == 0 and len(harness.client_events) == 1


@pytest.mark.parametrize("kind, operation", [("idempotent", ResolveOperationKey), ("streaming", EndAttempt)])
def test_recording_a_response_times_out_soon_after_the_deadline(monkeypatch, kind, operation):
    harness = make_harness(monkeypatch, kind, retained=kind == "streaming", retention_ms=9000)
    harness.wait_times_ms = {}
    original = harness.call_replicas
    for module in ("idempotency", "turn"):
        monkeypatch.setattr(
            f"frostpost.proxy.{module}.call_replicas",
            lambda agent, op, ms: record_wait_time(harness, original, agent, op, ms),
        )
    harness.serve(key="k", deadline_ms=1000)
    connection = harness.accept_connection()
    harness.reactor.advance(0.99)
    connection.dataReceived(response_bytes() if kind == "idempotent" else HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert 10 <= harness.wait_times_ms[operation] < 250


def record_wait_time(harness, original, agent, op, ms):
    harness.wait_times_ms[type(op)] = ms
    return original(agent, op, ms)


@pytest.mark.parametrize(
    "kind, operation, result",
    [
        ("idempotent", ClaimOperationKey, KeyClaimed()),
        ("streaming", BeginAttempt, AttemptBegun("r1", ())),
    ],
)
@pytest.mark.parametrize("change", ["lease", "time", "runner"])
def test_nothing_is_sent_if_a_precondition_is_lost_during_the_ledger_decision(
    monkeypatch, kind, operation, result, change
):
    harness = make_harness(monkeypatch, kind, retained=kind == "streaming", retention_ms=9000)
    harness.results[operation] = pending = Deferred()
    harness.serve(key="k", deadline_ms=1000)
    if change == "lease":
        harness.has_lease = False
    elif change == "time":
        harness.reactor.advance(1.1)
    else:
        harness.agent.runners = {}
    pending.callback(Ok(result))
    for _ in range(30):
        harness.reactor.advance(0.02)
    assert harness.reactor.tcpClients == []
    assert len(harness.client_events) == 1 and type(harness.client_events[0]) in (
        failures.Unavailable,
        failures.Overloaded,
    )


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
def test_nothing_is_written_to_a_connection_opened_after_lease_loss(monkeypatch, kind):
    harness = make_harness(monkeypatch, kind)
    harness.serve(key="k")
    harness.has_lease = False
    connection = harness.accept_connection()
    for _ in range(30):
        harness.reactor.advance(0.02)
    assert connection.transport.value() == b"" and types_of(harness.client_events) == [failures.Unavailable]


def test_keyed_response_after_lease_loss_is_not_a_success(monkeypatch):
    harness = make_harness(monkeypatch, "idempotent")
    harness.results[ResolveOperationKey] = failures.Unavailable(9)
    harness.serve(key="k")
    connection = harness.accept_connection()
    harness.has_lease = False
    connection.dataReceived(response_bytes())
    assert types_of(harness.client_events) == [failures.Unknown] and types_of(harness.background_operations) == [
        ResolveOperationKey
    ]
