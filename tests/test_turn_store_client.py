from types import SimpleNamespace

import pytest
from expression import Ok
from test_turn_store_disk import machine_of, results_of
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

REPLICAS = {f"s{n}": f"@s{n}:1" for n in range(3)}


@pytest.fixture
def agent(monkeypatch):
    clock = Clock()
    agent_context = AgentContext(SimpleNamespace(), clock, SimpleNamespace(member=Member("e", 9)), machine_of(clock))
    agent_context.attachments = {"replicas": dict(REPLICAS), "voters": tuple(REPLICAS), "sent": [], "lease": True}
    agent_context.links["send"] = lambda to, body: agent_context.attachments["sent"].append((to, body))
    monkeypatch.setattr(
        client.lease_client, "replica_addresses", lambda agent: agent.attachments["replicas"], raising=False
    )
    monkeypatch.setattr(client.lease_client, "voters_of", lambda agent: agent.attachments["voters"], raising=False)
    monkeypatch.setattr(client.lease_client, "holds_lease", lambda agent: agent.attachments["lease"], raising=False)
    return agent_context


def sent_messages(agent):
    sent, agent.attachments["sent"] = agent.attachments["sent"], []
    return sent


def sent_request(agent):
    ((to, body),) = sent_messages(agent)
    assert isinstance(body, GetBodiesRequest)
    return to[1:-2], body


def reply(agent, name, body, items):
    client.on_reply(agent, name, GetBodiesReply(9, body.number, tuple(items)))


def test_put_succeeds_once_a_majority_of_the_voters_has_synced(agent):
    results = results_of(client.put(agent, "t", b"body", 2000))
    assert [(to, type(body)) for to, body in sent_messages(agent)] == [(to, PutBodyRequest) for to in REPLICAS.values()]
    agent.attachments["replicas"]["other"] = "@other:1"
    for name, incarnation, synced in (
        ("s0", 9, True),
        ("s0", 9, True),
        ("other", 9, True),
        ("s1", 8, True),
        ("s1", 9, False),
    ):
        assert client.on_reply(agent, name, PutBodyReply(incarnation, 1, synced))
        assert results == []
    assert cache.lookup(client.cache_of(agent), "t") is None
    client.on_reply(agent, "s2", PutBodyReply(9, 1, True))
    assert (
        results == [Ok(client.Synced(frozenset({"s0", "s2", "other"})))] and cache.lookup(agent.cache, "t") == b"body"
    )
    assert agent.reactor.getDelayedCalls() == []


def test_put_succeeds_only_under_a_valid_lease_with_its_voters(agent):
    results = results_of(client.put(agent, "t", b"body", 2000))
    agent.attachments["lease"] = False
    for name in ("s0", "s1"):
        client.on_reply(agent, name, PutBodyReply(9, 1, True))
    client.recheck_puts(agent)
    assert results == []
    agent.attachments.update(lease=True, voters=("s1", "s2", "s3"))
    client.recheck_puts(agent)
    assert results == []
    agent.attachments["voters"] = ("s0", "s1", "s3")
    client.recheck_puts(agent)
    assert results == [Ok(client.Synced(frozenset({"s0", "s1"})))]
    assert client.is_durable_at(agent, {"s0", "s1"}) and not client.is_durable_at(agent, {"s0", "s2"})
    agent.attachments["lease"] = False
    assert not client.is_durable_at(agent, {"s0", "s1"})


def test_put_is_resent_to_replicas_that_have_not_synced_until_its_timeout(agent):
    results = results_of(client.put(agent, "t", b"body", 1000))
    sent_messages(agent)
    client.on_reply(agent, "s1", PutBodyReply(9, 1, True))
    agent.reactor.advance(0.3)
    assert [to for to, _ in sent_messages(agent)] == ["@s0:1", "@s2:1"]
    agent.reactor.advance(0.7)
    assert isinstance(results[0].error, Unavailable) and agent.reactor.getDelayedCalls() == []
    assert cache.lookup(client.cache_of(agent), "t") is None


def test_put_does_not_succeed_without_voters(agent):
    agent.attachments["voters"] = ()
    results = results_of(client.put(agent, "t", b"body", 1000))
    client.on_reply(agent, "s0", PutBodyReply(9, 1, True))
    assert results == []


def test_fetch_asks_one_replica_keeps_the_order_and_fills_the_cache(agent):
    results = results_of(client.fetch(agent, ("a", "b", "a"), 1000))
    name, body = sent_request(agent)
    reply(agent, name, body, [("b", b"2"), ("a", b"1")])
    assert results == [Ok((b"1", b"2", b"1"))] and agent.reactor.getDelayedCalls() == []
    assert results_of(client.fetch(agent, ("b",), 1000)) == [Ok((b"2",))] and sent_messages(agent) == []


def test_fetch_fails_over_to_another_replica_when_one_lacks_a_body(agent):
    results = results_of(client.fetch(agent, ("a", "b"), 1000))
    first, body = sent_request(agent)
    reply(agent, first, body, [("a", b"1")])
    second, body = sent_request(agent)
    assert second != first and body.turns == ("b",)
    reply(agent, second, body, [("b", b"2")])
    assert results == [Ok((b"1", b"2"))]


def test_fetch_asks_other_replicas_after_a_delay_and_accepts_late_replies(agent):
    results = results_of(client.fetch(agent, ("a",), 1000))
    first, body = sent_request(agent)
    agent.reactor.advance(0.15)
    assert sent_request(agent)[0] != first
    reply(agent, first, body, [("a", b"1")])
    assert results == [Ok((b"1",))]


def test_fetch_asks_the_same_replica_for_the_rest_after_a_truncated_reply(agent):
    results = results_of(client.fetch(agent, ("a", "b"), 1000))
    first, body = sent_request(agent)
    reply(agent, first, body, [("a", b"x" * 1_600_000)])
    second, body = sent_request(agent)
    assert second == first and body.turns == ("b",)
    reply(agent, first, body, [("b", b"2")])
    assert results[0].is_ok()


def test_fetch_fails_at_once_when_all_replicas_lack_the_body(agent):
    results = results_of(client.fetch(agent, ("a",), 5000))
    for _ in REPLICAS:
        assert results == []
        name, body = sent_request(agent)
        reply(agent, name, body, [])
    assert isinstance(results[0].error, Unavailable) and agent.reactor.getDelayedCalls() == []


def test_fetch_times_out_without_replies_from_any_replica(agent):
    results = results_of(client.fetch(agent, ("a",), 1000))
    agent.reactor.pump([0.25] * 4)
    assert isinstance(results[0].error, Unavailable) and agent.reactor.getDelayedCalls() == []
    assert {to for to, _ in sent_messages(agent)} == set(REPLICAS.values())


def test_cancelling_a_put_or_fetch_stops_its_timers(agent):
    for deferred in (client.fetch(agent, ("a",), 1000), client.put(agent, "t", b"body", 1000)):
        deferred.addErrback(lambda _: None)
        deferred.cancel()
    assert agent.reactor.getDelayedCalls() == [] and not client.on_reply(agent, "s0", DirectoryRequest())


def test_cache_is_bounded_by_bytes_and_evicts_the_least_recently_used(agent):
    agent.settings.cache_bytes = 1000
    body_cache = client.cache_of(agent)
    for turn in "abc":
        cache.insert(body_cache, turn, b"x" * 100)
    cache.lookup(body_cache, "a")
    cache.insert(body_cache, "d", b"x" * 100)
    assert list(body_cache.bodies) == ["c", "a", "d"] and body_cache.used_bytes == 900
    cache.insert(body_cache, "e", b"x" * 2000)
    cache.insert(body_cache, "d", b"x" * 150)
    assert list(body_cache.bodies) == ["c", "a", "d"] and body_cache.used_bytes == 950
