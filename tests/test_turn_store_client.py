from types import SimpleNamespace

import pytest
from expression import Ok
from test_turn_store_drive import machine_of, outcome
from twisted.internet.task import Clock

from frostpost.cluster.agent_context import AgentContext
from frostpost.proxy.failures import Unavailable
from frostpost.turn_store import cache, client
from frostpost.virtual_synchrony.agent_messages import (
    DirectoryRequest,
    GetBodiesReply,
    GetBodiesRequest,
    PutBodyReply,
    PutBodyRequest,
)
from frostpost.virtual_synchrony.endpoints import Member

RING = {f"s{n}": f"@s{n}:1" for n in range(3)}


@pytest.fixture
def agent(monkeypatch):
    clock = Clock()
    made = AgentContext(SimpleNamespace(), clock, SimpleNamespace(member=Member("e", 9)), machine_of(clock))
    made.attachments = {"ring": dict(RING), "voters": tuple(RING), "sent": [], "lease": True}
    made.links["send"] = lambda to, body: made.attachments["sent"].append((to, body))
    monkeypatch.setattr(
        client.lease_client, "replica_addresses", lambda agent: agent.attachments["ring"], raising=False
    )
    monkeypatch.setattr(client.lease_client, "voters_of", lambda agent: agent.attachments["voters"], raising=False)
    monkeypatch.setattr(client.lease_client, "holds_lease", lambda agent: agent.attachments["lease"], raising=False)
    return made


def taken(agent):
    sent, agent.attachments["sent"] = agent.attachments["sent"], []
    return sent


def asked(agent):
    ((to, body),) = taken(agent)
    assert isinstance(body, GetBodiesRequest)
    return to[1:-2], body


def answer(agent, name, body, items):
    client.on_reply(agent, name, GetBodiesReply(9, body.number, tuple(items)))


def test_put_is_ok_once_a_majority_of_the_voters_has_synced(agent):
    seen = outcome(client.put(agent, "t", b"body", 2000))
    assert [(to, type(b)) for to, b in taken(agent)] == [(to, PutBodyRequest) for to in RING.values()]
    agent.attachments["ring"]["other"] = "@other:1"
    for name, boot, synced in (("s0", 9, True), ("s0", 9, True), ("other", 9, True), ("s1", 8, True), ("s1", 9, False)):
        assert client.on_reply(agent, name, PutBodyReply(boot, 1, synced))
        assert seen == []
    assert cache.lookup(client.cache_of(agent), "t") is None
    client.on_reply(agent, "s2", PutBodyReply(9, 1, True))
    assert seen == [Ok(client.Synced(frozenset({"s0", "s2", "other"})))] and cache.lookup(agent.cache, "t") == b"body"
    assert agent.reactor.getDelayedCalls() == []


def test_put_counts_the_voters_of_a_running_lease_only(agent):
    seen = outcome(client.put(agent, "t", b"body", 2000))
    agent.attachments["lease"] = False
    for name in ("s0", "s1"):
        client.on_reply(agent, name, PutBodyReply(9, 1, True))
    client.recount_holders(agent)
    assert seen == []
    agent.attachments.update(lease=True, voters=("s1", "s2", "s3"))
    client.recount_holders(agent)
    assert seen == []
    agent.attachments["voters"] = ("s0", "s1", "s3")
    client.recount_holders(agent)
    assert seen == [Ok(client.Synced(frozenset({"s0", "s1"})))]
    assert client.is_durable_at(agent, {"s0", "s1"}) and not client.is_durable_at(agent, {"s0", "s2"})
    agent.attachments["lease"] = False
    assert not client.is_durable_at(agent, {"s0", "s1"})


def test_put_is_sent_again_to_those_that_have_not_synced_and_ends_in_time(agent):
    seen = outcome(client.put(agent, "t", b"body", 1000))
    taken(agent)
    client.on_reply(agent, "s1", PutBodyReply(9, 1, True))
    agent.reactor.advance(0.3)
    assert [to for to, _ in taken(agent)] == ["@s0:1", "@s2:1"]
    agent.reactor.advance(0.7)
    assert isinstance(seen[0].error, Unavailable) and agent.reactor.getDelayedCalls() == []
    assert cache.lookup(client.cache_of(agent), "t") is None


def test_without_voters_no_put_is_ok(agent):
    agent.attachments["voters"] = ()
    seen = outcome(client.put(agent, "t", b"body", 1000))
    client.on_reply(agent, "s0", PutBodyReply(9, 1, True))
    assert seen == []


def test_fetch_asks_one_daemon_keeps_the_order_and_fills_the_cache(agent):
    seen = outcome(client.fetch(agent, ("a", "b", "a"), 1000))
    name, body = asked(agent)
    answer(agent, name, body, [("b", b"2"), ("a", b"1")])
    assert seen == [Ok((b"1", b"2", b"1"))] and agent.reactor.getDelayedCalls() == []
    assert outcome(client.fetch(agent, ("b",), 1000)) == [Ok((b"2",))] and taken(agent) == []


def test_fetch_falls_over_to_another_daemon_when_one_lacks_some(agent):
    seen = outcome(client.fetch(agent, ("a", "b"), 1000))
    first, body = asked(agent)
    answer(agent, first, body, [("a", b"1")])
    second, body = asked(agent)
    assert second != first and body.turns == ("b",)
    answer(agent, second, body, [("b", b"2")])
    assert seen == [Ok((b"1", b"2"))]


def test_fetch_asks_others_when_one_is_silent_and_takes_late_answers(agent):
    seen = outcome(client.fetch(agent, ("a",), 1000))
    first, body = asked(agent)
    agent.reactor.advance(0.15)
    assert asked(agent)[0] != first
    answer(agent, first, body, [("a", b"1")])
    assert seen == [Ok((b"1",))]


def test_fetch_asks_the_same_daemon_for_the_rest_of_a_bounded_answer(agent):
    seen = outcome(client.fetch(agent, ("a", "b"), 1000))
    first, body = asked(agent)
    answer(agent, first, body, [("a", b"x" * 1_600_000)])
    again, body = asked(agent)
    assert again == first and body.turns == ("b",)
    answer(agent, first, body, [("b", b"2")])
    assert seen[0].is_ok()


def test_fetch_ends_at_once_when_all_daemons_lack_it(agent):
    seen = outcome(client.fetch(agent, ("a",), 5000))
    for _ in RING:
        assert seen == []
        name, body = asked(agent)
        answer(agent, name, body, [])
    assert isinstance(seen[0].error, Unavailable) and agent.reactor.getDelayedCalls() == []


def test_fetch_ends_in_time_when_nobody_answers(agent):
    seen = outcome(client.fetch(agent, ("a",), 1000))
    agent.reactor.pump([0.25] * 4)
    assert isinstance(seen[0].error, Unavailable) and agent.reactor.getDelayedCalls() == []
    assert {to for to, _ in taken(agent)} == set(RING.values())


def test_cancelling_stops_the_timers(agent):
    for waiting in (client.fetch(agent, ("a",), 1000), client.put(agent, "t", b"body", 1000)):
        waiting.addErrback(lambda _: None)
        waiting.cancel()
    assert agent.reactor.getDelayedCalls() == [] and not client.on_reply(agent, "s0", DirectoryRequest())


def test_cache_is_bounded_by_bytes_and_drops_the_least_recently_used(agent):
    agent.settings.cache_bytes = 1000
    held = client.cache_of(agent)
    for turn in "abc":
        cache.remember(held, turn, b"x" * 100)
    cache.lookup(held, "a")
    cache.remember(held, "d", b"x" * 100)
    assert list(held.items) == ["c", "a", "d"] and held.used_bytes == 900
    cache.remember(held, "e", b"x" * 2000)
    cache.remember(held, "d", b"x" * 150)
    assert list(held.items) == ["c", "a", "d"] and held.used_bytes == 950
