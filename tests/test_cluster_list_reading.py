"""Readings of the runner list, passed on by the leader in lease replies."""

from hypothesis import given
from hypothesis import strategies as st
from test_cluster_lease_client import endpoint_of, new_agent, new_sequencer, renew_sequencer_lease
from twisted.internet.task import Clock

from frostpost.cluster import agent_sessions, lease_client
from frostpost.cluster.list_reading import NEVER_MS, NEVER_READ_AGE_MS, ListReading, age_ms, newer, reading_from_message
from frostpost.virtual_synchrony.agent_messages import LeaseReply, LeaseRequest

READINGS = st.builds(ListReading, st.integers(0, 2**32 - 1), st.integers(0, 10**9))


def renew(ctx, sessions, name, **reported):
    return agent_sessions.on_lease_request(ctx, sessions, endpoint_of(name, "edge", 2), LeaseRequest(0, 0, **reported))


def test_a_lease_reply_carries_the_newest_reading_of_any_agent():
    clock = Clock()
    ctx, sessions = new_sequencer(clock)
    clock.advance(5)
    renew_sequencer_lease(ctx, clock)
    first = renew(ctx, sessions, "e1", list_digest=7, list_age_ms=300)
    assert (first.list_digest, first.list_age_ms) == (7, 300)
    older = renew(ctx, sessions, "e2", list_digest=8, list_age_ms=900)
    assert (older.list_digest, older.list_age_ms) == (7, 300)
    clock.advance(0.2)
    newest = renew(ctx, sessions, "e3", list_digest=9, list_age_ms=50)
    assert (newest.list_digest, newest.list_age_ms) == (9, 50)
    unread = renew(ctx, sessions, "e4")
    assert (unread.list_digest, unread.list_age_ms) == (9, 50)


def test_a_leader_without_any_reading_sends_none():
    ctx, sessions = new_sequencer(Clock())
    assert renew(ctx, sessions, "e1").list_age_ms == NEVER_READ_AGE_MS


def test_an_agent_sends_its_own_reading_and_passes_on_the_newest():
    clock, reported = Clock(), []
    agent = new_agent(clock)
    clock.advance(2)
    assert lease_client.lease_request(agent).list_age_ms == NEVER_READ_AGE_MS
    agent.runner_list.last = ListReading(5, 1500)
    request = lease_client.lease_request(agent)
    assert (request.list_digest, request.list_age_ms) == (5, 500)
    agent.runner_list.on_newest_reading = reported.append
    reply = LeaseReply(2000, 1000, "s1", list_digest=6, list_age_ms=100)
    lease_client.on_lease_reply(agent, endpoint_of("s1"), reply)
    lease_client.on_lease_reply(agent, endpoint_of("s1"), LeaseReply(2000, 1000, "s1"))
    assert reported == [ListReading(6, 1900), ListReading()]


@given(READINGS, READINGS)
def test_the_later_of_two_readings_is_newer(first, second):
    assert newer(first, second).read_ms == max(first.read_ms, second.read_ms)
    assert newer(ListReading(), first) == first and newer(first, ListReading()) == first


@given(READINGS, st.integers(0, 10**6))
def test_a_reading_keeps_its_age_in_a_message(reading, later_ms):
    now = reading.read_ms + later_ms
    assert reading_from_message(reading.digest, age_ms(reading, now), now) == reading
    assert reading_from_message(1, age_ms(ListReading(), now), now).read_ms == NEVER_MS
