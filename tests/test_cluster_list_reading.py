"""Readings of the list of runners, told through the leader with the leases."""

from hypothesis import given
from hypothesis import strategies as st
from test_cluster_lease_client import endpoint_of, fresh, new_agent, new_ring
from twisted.internet.task import Clock

from frostpost.cluster import agent_sessions, lease_client
from frostpost.cluster.list_reading import NEVER_MS, UNREAD_MS, ListReading, age_ms, newer, reading_from_message
from frostpost.virtual_synchrony.agent_messages import LeaseReply, LeaseRequest

READINGS = st.builds(ListReading, st.integers(0, 2**32 - 1), st.integers(0, 10**9))


def renewed(ctx, sessions, name, **told):
    return agent_sessions.on_lease_request(ctx, sessions, endpoint_of(name, "edge", 2), LeaseRequest(0, 0, **told))


def test_a_lease_tells_the_newest_reading_of_any_agent():
    clock = Clock()
    ctx, sessions = new_ring(clock)
    clock.advance(5)
    fresh(ctx, clock)
    first = renewed(ctx, sessions, "e1", list_digest=7, list_age_ms=300)
    assert (first.list_digest, first.list_age_ms) == (7, 300)
    older = renewed(ctx, sessions, "e2", list_digest=8, list_age_ms=900)
    assert (older.list_digest, older.list_age_ms) == (7, 300)
    clock.advance(0.2)
    newest = renewed(ctx, sessions, "e3", list_digest=9, list_age_ms=50)
    assert (newest.list_digest, newest.list_age_ms) == (9, 50)
    unread = renewed(ctx, sessions, "e4")
    assert (unread.list_digest, unread.list_age_ms) == (9, 50)


def test_a_leader_that_was_told_of_no_reading_tells_of_none():
    ctx, sessions = new_ring(Clock())
    assert renewed(ctx, sessions, "e1").list_age_ms == UNREAD_MS


def test_an_agent_tells_its_own_reading_and_hands_on_the_newest():
    clock, told = Clock(), []
    agent = new_agent(clock)
    clock.advance(2)
    assert lease_client.lease_request(agent).list_age_ms == UNREAD_MS
    agent.runner_list.last = ListReading(5, 1500)
    request = lease_client.lease_request(agent)
    assert (request.list_digest, request.list_age_ms) == (5, 500)
    agent.runner_list.on_newest = told.append
    reply = LeaseReply(2000, 1000, "s1", list_digest=6, list_age_ms=100)
    lease_client.on_lease_reply(agent, endpoint_of("s1"), reply)
    lease_client.on_lease_reply(agent, endpoint_of("s1"), LeaseReply(2000, 1000, "s1"))
    assert told == [ListReading(6, 1900), ListReading()]


@given(READINGS, READINGS)
def test_of_two_readings_the_later_one_counts(one, other):
    assert newer(one, other).read_ms == max(one.read_ms, other.read_ms)
    assert newer(ListReading(), one) == one and newer(one, ListReading()) == one


@given(READINGS, st.integers(0, 10**6))
def test_a_reading_keeps_its_age_on_the_way(reading, later_ms):
    now = reading.read_ms + later_ms
    assert reading_from_message(reading.digest, age_ms(reading, now), now) == reading
    assert reading_from_message(1, age_ms(ListReading(), now), now).read_ms == NEVER_MS
