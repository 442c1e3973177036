"""Requests that wait for a lease, for the order or for nothing, and what is told of those that aren't served."""

import pytest
from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st
from proxy_harness import HEAD, ProxyHarness, answer_bytes, chunk, make_route, make_runner
from twisted.internet.defer import Deferred, succeed

from frostpost.cluster import lease_client, lease_waiters
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    BeginAttempt,
    ClaimOperationKey,
    EndAttempt,
    KeyClaimed,
    NoCapacity,
    ReassignAttempt,
)
from frostpost.proxy import decision_record, failures, operation_retry, wait_policy
from frostpost.proxy.models import Delays

TIMES = st.integers(0, 10**7)


def make_harness(monkeypatch, **route):
    return ProxyHarness([make_route(**route)], [make_runner("r1"), make_runner("r2")], monkeypatch)


def types_of(items):
    return [type(item) for item in items]


def lease_returns(harness):
    harness.has_lease = True
    lease_waiters.wake_lease_waiters(harness.agent)


def test_a_request_waits_for_the_lease_and_is_served_when_it_returns(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve()
    harness.reactor.advance(0.5)
    assert harness.client_events == [] and harness.reactor.tcpClients == [] and harness.agent.flights == 1
    lease_returns(harness)
    harness.accept_connection().dataReceived(answer_bytes())
    assert harness.client_events == [("head", 200), ("data", b"out"), "end"] and harness.agent.flights == 0
    assert harness.reactor.getDelayedCalls() == []


def test_a_request_is_refused_at_once_when_it_has_waited_its_share(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve(deadline_ms=1000)
    harness.reactor.advance(0.39)
    assert harness.client_events == []
    harness.reactor.advance(0.02)
    assert harness.client_events == [failures.Unavailable(700, "lease")] and harness.agent.flights == 0
    lease_returns(harness)
    assert len(harness.client_events) == 1 and harness.reactor.tcpClients == []


def test_a_daemon_without_a_lease_for_long_holds_nothing(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    lease_client.session_of(harness.agent)
    harness.reactor.advance(2.5)
    harness.serve(started_ms=2500, deadline_ms=6500)
    assert harness.client_events == [failures.Unavailable(700, "lease")]


def test_a_daemon_that_is_leaving_for_good_holds_nothing(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease, harness.agent.leaving = False, True
    harness.agent.extras["last_call"] = True
    harness.serve()
    assert harness.client_events == [failures.Leaving()]


def test_a_client_that_left_while_its_request_waited_is_not_served(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve()
    harness.disconnect_client()
    lease_returns(harness)
    assert harness.client_events == [] and harness.reactor.tcpClients == [] and harness.agent.flights == 0


def test_no_more_requests_wait_for_a_lease_than_are_allowed(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    monkeypatch.setattr(lease_waiters, "MOST_LEASE_WAITERS", 2)
    for _ in range(3):
        harness.serve()
    assert harness.client_events == [failures.Unavailable(700, "lease")] and harness.agent.flights == 2


def test_those_who_wait_for_a_lease_go_on_in_the_order_in_which_they_came(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    order = []
    for n in range(3):
        lease_waiters.wait_for_lease(harness.agent, 1000).addCallback(lambda held, n=n: order.append((n, held)))
    lease_returns(harness)
    assert order == [(0, True), (1, True), (2, True)]


def test_an_answer_whose_turn_nobody_may_follow_ends_without_waiting_for_the_order(monkeypatch):
    harness = make_harness(monkeypatch, kind="streaming")
    harness.results[EndAttempt] = Deferred()
    harness.serve(program="g", budget=9, max_output_tokens=5)
    harness.accept_connection().dataReceived(HEAD + chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")
    assert harness.client_events[-1] == "end"
    assert harness.background_operations == [EndAttempt("a1", 2)] and harness.stored_bodies == []


def calls(monkeypatch, *results):
    waiting = list(results)
    asked = []

    def call_replicas(agent, operation, wait_ms):
        asked.append(wait_ms)
        result = waiting.pop(0)
        return result if isinstance(result, Deferred) else succeed(result)

    monkeypatch.setattr(operation_retry, "call_replicas", call_replicas)
    return asked


def test_an_operation_is_asked_for_again_when_the_lease_returns(monkeypatch):
    harness = make_harness(monkeypatch)
    asked = calls(monkeypatch, Error(failures.Unavailable(1, "lease")), Ok(KeyClaimed()))
    harness.has_lease, delays, found = False, Delays(), []
    operation_retry.call_until_decided(harness.agent, ClaimOperationKey("k", "a", 9), 1000, delays).addCallback(
        found.append
    )
    harness.reactor.advance(0.3)
    assert found == []
    lease_returns(harness)
    assert found == [KeyClaimed()] and asked == [400, 100]
    assert (delays.lease_ms, delays.order_ms) == (300, 0)


def test_an_operation_that_is_not_decided_in_the_requests_share_is_given_up(monkeypatch):
    harness = make_harness(monkeypatch)
    undecided = Deferred()
    asked = calls(monkeypatch, undecided)
    delays, found = Delays(), []
    operation_retry.call_until_decided(harness.agent, ClaimOperationKey("k", "a", 9), 3000, delays).addCallback(
        found.append
    )
    harness.reactor.advance(1.2)
    undecided.callback(Error(failures.Unavailable(1, "undecided")))
    assert found == [failures.Unavailable(1, "undecided")] and asked == [1200] and delays.order_ms == 1200


def test_a_turn_that_waited_at_the_leader_in_vain_is_refused_and_not_asked_for_again(monkeypatch):
    harness = make_harness(monkeypatch, kind="streaming", rank=2)
    harness.results[BeginAttempt] = NoCapacity(20)
    harness.serve(program="g", budget=9, max_output_tokens=5, program_remaining_ms=2500)
    assert types_of(harness.client_events) == [failures.Overloaded] and harness.background_operations == [
        AbortAttempt("a1")
    ]
    (begin,) = harness.operations
    assert (begin.pool, begin.rank, begin.max_queue_ms, begin.deadline_in_ms) == ("s", 2, 1280, 2500)


def test_the_wait_for_another_slot_begins_when_the_order_has_said_that_there_is_none(monkeypatch):
    harness = make_harness(monkeypatch, kind="streaming", attempts=2)
    first = Deferred()
    harness.results[ReassignAttempt] = [first, AttemptBegun("r2", ())]
    harness.serve(program="g", budget=9, max_output_tokens=5)
    harness.accept_connection().dataReceived(answer_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n"))
    harness.reactor.advance(1)
    first.callback(Ok(NoCapacity(20)))
    harness.reactor.advance(0.02)
    assert len(harness.reactor.tcpClients) == 2


def test_what_is_not_served_is_recorded_with_what_it_waited_for(monkeypatch):
    told = []
    monkeypatch.setattr(decision_record, "log_event", lambda kind, **facts: told.append((kind, facts)))
    harness = make_harness(monkeypatch)
    harness.has_lease = False
    harness.serve(deadline_ms=1000, program="g")
    harness.reactor.advance(0.4)
    harness.has_lease = True
    harness.serve(host="other")
    harness.serve()
    harness.accept_connection().dataReceived(answer_bytes())
    assert [kind for kind, _ in told] == ["request_not_served"]
    assert told[0][1] == dict(
        attempt="a1",
        program="g",
        route="",
        outcome="Unavailable",
        why="lease",
        elapsed_ms=400,
        lease_ms=400,
        order_ms=0,
        slot_ms=0,
    )
    assert harness.agent.counts["not_served/Unavailable/lease"] == 1 and harness.agent.counts["not_served/NoRoute"] == 1


@given(TIMES, TIMES, TIMES, st.integers(1, 5000))
def test_no_hold_takes_half_of_the_time_left_or_outlasts_the_end_of_the_lease(now, left, gone, lease):
    until_ms = wait_policy.lease_wait_until_ms(now, left, gone, lease)
    assert until_ms <= now + left / 2 and until_ms <= gone + wait_policy.MAX_OUTAGE_LEASES * lease


@pytest.mark.parametrize("left", [-5, 0])
def test_what_has_no_time_left_is_not_held(left):
    assert wait_policy.decision_wait_ms(left) == 0


def test_a_lease_that_is_there_and_refused_all_the_same_is_not_asked_about_for_ever(monkeypatch):
    harness = make_harness(monkeypatch)
    asked = calls(monkeypatch, *[Error(failures.Unavailable(1, "lease"))] * 2)
    found = []
    operation_retry.call_until_decided(harness.agent, ClaimOperationKey("k", "a", 9), 1000, Delays()).addCallback(
        found.append
    )
    assert found == [failures.Unavailable(1, "lease")] and len(asked) == 1
