"""Tests of bounded waits for a lease, a ledger decision or a slot, and of the log of unserved requests."""

import pytest
from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st
from proxy_harness import HEAD, ProxyHarness, chunk, make_route, make_runner, response_bytes, types_of
from twisted.internet.defer import Deferred, succeed

from frostpost.cluster import lease_client, lease_waiters
from frostpost.program_ledger.key_messages import ClaimOperationKey, KeyClaimed
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    BeginAttempt,
    EndAttempt,
    NoCapacity,
    ReassignAttempt,
)
from frostpost.proxy import decision_record, failures, operation_retry, wait_policy
from frostpost.proxy.models import Delays

TIMES = st.integers(0, 10**7)


def make_harness(monkeypatch, **route):
    return ProxyHarness([make_route(**route)], [make_runner("r1"), make_runner("r2")], monkeypatch)


def restore_lease(harness):
    harness.has_lease = True
    lease_waiters.wake_lease_waiters(harness.agent)


def test_request_waits_for_the_lease_and_is_then_served(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve()
    harness.reactor.advance(0.5)
    assert harness.client_events == [] and harness.reactor.tcpClients == [] and harness.agent.requests_in_flight == 1
    restore_lease(harness)
    harness.accept_connection().dataReceived(response_bytes())
    assert harness.client_events == [("head", 200), ("data", b"out"), "end"] and harness.agent.requests_in_flight == 0
    assert harness.reactor.getDelayedCalls() == []


def test_request_is_refused_when_its_wait_bound_has_passed(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve(deadline_ms=1000)
    harness.reactor.advance(0.39)
    assert harness.client_events == []
    harness.reactor.advance(0.02)
    assert harness.client_events == [failures.Unavailable(700, "lease")] and harness.agent.requests_in_flight == 0
    restore_lease(harness)
    assert len(harness.client_events) == 1 and harness.reactor.tcpClients == []


def test_requests_do_not_wait_after_a_long_lease_outage(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    lease_client.session_of(harness.agent)
    harness.reactor.advance(2.5)
    harness.serve(started_ms=2500, deadline_ms=6500)
    assert harness.client_events == [failures.Unavailable(700, "lease")]


def test_requests_do_not_wait_during_shutdown(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease, harness.agent.draining = False, True
    harness.agent.attachments["last_call"] = True
    harness.serve()
    assert harness.client_events == [failures.Leaving()]


def test_request_is_dropped_if_its_client_disconnects_while_it_waits(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve()
    harness.disconnect_client()
    restore_lease(harness)
    assert harness.client_events == [] and harness.reactor.tcpClients == [] and harness.agent.requests_in_flight == 0


def test_number_of_requests_waiting_for_a_lease_is_bounded(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    monkeypatch.setattr(lease_waiters, "MAX_LEASE_WAITERS", 2)
    for _ in range(3):
        harness.serve()
    assert harness.client_events == [failures.Unavailable(700, "lease")] and harness.agent.requests_in_flight == 2


def test_lease_waiters_resume_in_order_of_arrival(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    order = []
    for number in range(3):
        lease_waiters.wait_for_lease(harness.agent, 1000).addCallback(
            lambda has_lease, number=number: order.append((number, has_lease))
        )
    restore_lease(harness)
    assert order == [(0, True), (1, True), (2, True)]


def test_response_of_unretained_turn_does_not_wait_for_the_ledger(monkeypatch):
    harness = make_harness(monkeypatch, kind="streaming")
    harness.results[EndAttempt] = Deferred()
    harness.serve(program="g", budget=9, max_output_tokens=5)
    harness.accept_connection().dataReceived(HEAD + chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")
    assert harness.client_events[-1] == "end"
    assert harness.background_operations == [EndAttempt("a1", 2)] and harness.stored_bodies == []


def patch_call_replicas(monkeypatch, *results):
    pending = list(results)
    wait_times_ms = []

    def call_replicas(agent, operation, wait_ms):
        wait_times_ms.append(wait_ms)
        result = pending.pop(0)
        return result if isinstance(result, Deferred) else succeed(result)

    monkeypatch.setattr(operation_retry, "call_replicas", call_replicas)
    return wait_times_ms


def test_operation_is_resubmitted_when_the_lease_returns(monkeypatch):
    harness = make_harness(monkeypatch)
    wait_times_ms = patch_call_replicas(monkeypatch, Error(failures.Unavailable(1, "lease")), Ok(KeyClaimed()))
    harness.has_lease, delays, results = False, Delays(), []
    operation_retry.call_until_decided(harness.agent, ClaimOperationKey("k", "a", 9), 1000, delays).addCallback(
        results.append
    )
    harness.reactor.advance(0.3)
    assert results == []
    restore_lease(harness)
    assert results == [KeyClaimed()] and wait_times_ms == [400, 100]
    assert (delays.lease_ms, delays.order_ms) == (300, 0)


def test_undecided_operation_fails_after_the_wait_bound(monkeypatch):
    harness = make_harness(monkeypatch)
    undecided = Deferred()
    wait_times_ms = patch_call_replicas(monkeypatch, undecided)
    delays, results = Delays(), []
    operation_retry.call_until_decided(harness.agent, ClaimOperationKey("k", "a", 9), 3000, delays).addCallback(
        results.append
    )
    harness.reactor.advance(1.2)
    undecided.callback(Error(failures.Unavailable(1, "undecided")))
    assert results == [failures.Unavailable(1, "undecided")] and wait_times_ms == [1200] and delays.order_ms == 1200


def test_turn_refused_by_the_leader_queue_is_not_resubmitted(monkeypatch):
    harness = make_harness(monkeypatch, kind="streaming", rank=2)
    harness.results[BeginAttempt] = NoCapacity(20)
    harness.serve(program="g", budget=9, max_output_tokens=5, program_remaining_ms=2500)
    assert types_of(harness.client_events) == [failures.Overloaded] and harness.background_operations == [
        AbortAttempt("a1")
    ]
    (operation,) = harness.operations
    assert (operation.pool, operation.rank, operation.max_queue_ms, operation.deadline_in_ms) == ("s", 2, 1280, 2500)


def test_slot_wait_starts_at_the_first_no_capacity(monkeypatch):
    harness = make_harness(monkeypatch, kind="streaming", attempts=2)
    decision = Deferred()
    harness.results[ReassignAttempt] = [decision, AttemptBegun("r2", ())]
    harness.serve(program="g", budget=9, max_output_tokens=5)
    harness.accept_connection().dataReceived(response_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n"))
    harness.reactor.advance(1)
    decision.callback(Ok(NoCapacity(20)))
    harness.reactor.advance(0.02)
    assert len(harness.reactor.tcpClients) == 2


def test_unserved_requests_are_logged_with_their_delays(monkeypatch):
    logged = []
    monkeypatch.setattr(decision_record, "log_event", lambda event, **fields: logged.append((event, fields)))
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve(deadline_ms=1000, program="g", previous_turn="a0")
    harness.reactor.advance(0.4)
    harness.has_lease = True
    harness.serve(host="other")
    harness.serve()
    harness.accept_connection().dataReceived(response_bytes())
    assert [event for event, _ in logged] == ["request_not_served"]
    assert logged[0][1] == dict(
        attempt="a1",
        program="g",
        route="",
        outcome="Unavailable",
        why="lease",
        elapsed_ms=400,
        lease_ms=400,
        order_ms=0,
        slot_ms=0,
        previous="a0",
    )
    assert harness.agent.counts["not_served/Unavailable/lease"] == 1 and harness.agent.counts["not_served/NoRoute"] == 1


@given(TIMES, TIMES, TIMES, st.integers(1, 5000))
def test_lease_wait_is_bounded_by_remaining_time_and_outage_length(now_ms, remaining_ms, lost_since_ms, lease_ms):
    until_ms = wait_policy.lease_wait_until_ms(now_ms, remaining_ms, lost_since_ms, lease_ms)
    assert (
        until_ms <= now_ms + remaining_ms / 2 and until_ms <= lost_since_ms + wait_policy.MAX_OUTAGE_LEASES * lease_ms
    )


@pytest.mark.parametrize("remaining_ms", [-5, 0])
def test_expired_request_does_not_wait(remaining_ms):
    assert wait_policy.decision_wait_ms(remaining_ms) == 0


def test_refusal_despite_a_valid_lease_is_not_retried(monkeypatch):
    harness = make_harness(monkeypatch)
    wait_times_ms = patch_call_replicas(monkeypatch, *[Error(failures.Unavailable(1, "lease"))] * 2)
    results = []
    operation_retry.call_until_decided(harness.agent, ClaimOperationKey("k", "a", 9), 1000, Delays()).addCallback(
        results.append
    )
    assert results == [failures.Unavailable(1, "lease")] and len(wait_times_ms) == 1
