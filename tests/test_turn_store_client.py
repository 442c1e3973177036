from types import SimpleNamespace

import pytest
from expression import Ok
from test_turn_store_drive import machine_of, outcome
from twisted.internet.task import Clock

from frostpost.cluster.agent_context import Leaf
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
def leaf(monkeypatch):
    clock = Clock()
    made = Leaf(SimpleNamespace(), clock, SimpleNamespace(member=Member("e", 9)), machine_of(clock))
    made.extras = {"ring": dict(RING), "voters": tuple(RING), "sent": [], "lease": True}
    made.links["send"] = lambda to, body: made.extras["sent"].append((to, body))
    monkeypatch.setattr(client.lease_client, "ring_addresses", lambda leaf: leaf.extras["ring"], raising=False)
    monkeypatch.setattr(client.lease_client, "voters", lambda leaf: leaf.extras["voters"], raising=False)
    monkeypatch.setattr(client.lease_client, "lease_ok", lambda leaf: leaf.extras["lease"], raising=False)
    return made


def taken(leaf):
    sent, leaf.extras["sent"] = leaf.extras["sent"], []
    return sent


def asked(leaf):
    ((to, body),) = taken(leaf)
    assert isinstance(body, GetBodiesRequest)
    return to[1:-2], body


def answer(leaf, name, body, items):
    client.received(leaf, name, GetBodiesReply(9, body.number, tuple(items)))


def test_put_is_ok_once_a_majority_of_the_voters_has_synced(leaf):
    seen = outcome(client.put(leaf, "t", b"body", 2000))
    assert [(to, type(b)) for to, b in taken(leaf)] == [(to, PutBodyRequest) for to in RING.values()]
    leaf.extras["ring"]["other"] = "@other:1"
    for name, boot, synced in (("s0", 9, True), ("s0", 9, True), ("other", 9, True), ("s1", 8, True), ("s1", 9, False)):
        assert client.received(leaf, name, PutBodyReply(boot, 1, synced))
        assert seen == []
    assert cache.cached(client.cache_of(leaf), "t") is None
    client.received(leaf, "s2", PutBodyReply(9, 1, True))
    assert seen == [Ok(client.Synced(frozenset({"s0", "s2", "other"})))] and cache.cached(leaf.cache, "t") == b"body"
    assert leaf.reactor.getDelayedCalls() == []


def test_put_counts_the_voters_of_a_running_lease_only(leaf):
    seen = outcome(client.put(leaf, "t", b"body", 2000))
    leaf.extras["lease"] = False
    for name in ("s0", "s1"):
        client.received(leaf, name, PutBodyReply(9, 1, True))
    client.granted(leaf)
    assert seen == []
    leaf.extras.update(lease=True, voters=("s1", "s2", "s3"))
    client.granted(leaf)
    assert seen == []
    leaf.extras["voters"] = ("s0", "s1", "s3")
    client.granted(leaf)
    assert seen == [Ok(client.Synced(frozenset({"s0", "s1"})))]
    assert client.lasts(leaf, {"s0", "s1"}) and not client.lasts(leaf, {"s0", "s2"})
    leaf.extras["lease"] = False
    assert not client.lasts(leaf, {"s0", "s1"})


def test_put_is_sent_again_to_those_that_have_not_synced_and_ends_in_time(leaf):
    seen = outcome(client.put(leaf, "t", b"body", 1000))
    taken(leaf)
    client.received(leaf, "s1", PutBodyReply(9, 1, True))
    leaf.reactor.advance(0.3)
    assert [to for to, _ in taken(leaf)] == ["@s0:1", "@s2:1"]
    leaf.reactor.advance(0.7)
    assert isinstance(seen[0].error, Unavailable) and leaf.reactor.getDelayedCalls() == []
    assert cache.cached(client.cache_of(leaf), "t") is None


def test_without_voters_no_put_is_ok(leaf):
    leaf.extras["voters"] = ()
    seen = outcome(client.put(leaf, "t", b"body", 1000))
    client.received(leaf, "s0", PutBodyReply(9, 1, True))
    assert seen == []


def test_fetch_asks_one_daemon_keeps_the_order_and_fills_the_cache(leaf):
    seen = outcome(client.fetch(leaf, ("a", "b", "a"), 1000))
    name, body = asked(leaf)
    answer(leaf, name, body, [("b", b"2"), ("a", b"1")])
    assert seen == [Ok((b"1", b"2", b"1"))] and leaf.reactor.getDelayedCalls() == []
    assert outcome(client.fetch(leaf, ("b",), 1000)) == [Ok((b"2",))] and taken(leaf) == []


def test_fetch_falls_over_to_another_daemon_when_one_lacks_some(leaf):
    seen = outcome(client.fetch(leaf, ("a", "b"), 1000))
    first, body = asked(leaf)
    answer(leaf, first, body, [("a", b"1")])
    second, body = asked(leaf)
    assert second != first and body.turns == ("b",)
    answer(leaf, second, body, [("b", b"2")])
    assert seen == [Ok((b"1", b"2"))]


def test_fetch_asks_others_when_one_is_silent_and_takes_late_answers(leaf):
    seen = outcome(client.fetch(leaf, ("a",), 1000))
    first, body = asked(leaf)
    leaf.reactor.advance(0.15)
    assert asked(leaf)[0] != first
    answer(leaf, first, body, [("a", b"1")])
    assert seen == [Ok((b"1",))]


def test_fetch_asks_the_same_daemon_for_the_rest_of_a_bounded_answer(leaf):
    seen = outcome(client.fetch(leaf, ("a", "b"), 1000))
    first, body = asked(leaf)
    answer(leaf, first, body, [("a", b"x" * 1_600_000)])
    again, body = asked(leaf)
    assert again == first and body.turns == ("b",)
    answer(leaf, first, body, [("b", b"2")])
    assert seen[0].is_ok()


def test_fetch_ends_at_once_when_all_daemons_lack_it(leaf):
    seen = outcome(client.fetch(leaf, ("a",), 5000))
    for _ in RING:
        assert seen == []
        name, body = asked(leaf)
        answer(leaf, name, body, [])
    assert isinstance(seen[0].error, Unavailable) and leaf.reactor.getDelayedCalls() == []


def test_fetch_ends_in_time_when_nobody_answers(leaf):
    seen = outcome(client.fetch(leaf, ("a",), 1000))
    leaf.reactor.pump([0.25] * 4)
    assert isinstance(seen[0].error, Unavailable) and leaf.reactor.getDelayedCalls() == []
    assert {to for to, _ in taken(leaf)} == set(RING.values())


def test_cancelling_stops_the_timers(leaf):
    for waiting in (client.fetch(leaf, ("a",), 1000), client.put(leaf, "t", b"body", 1000)):
        waiting.addErrback(lambda _: None)
        waiting.cancel()
    assert leaf.reactor.getDelayedCalls() == [] and not client.received(leaf, "s0", DirectoryRequest())


def test_cache_is_bounded_by_bytes_and_drops_the_least_recently_used(leaf):
    leaf.settings.cache_bytes = 1000
    held = client.cache_of(leaf)
    for turn in "abc":
        cache.remember(held, turn, b"x" * 100)
    cache.cached(held, "a")
    cache.remember(held, "d", b"x" * 100)
    assert list(held.items) == ["c", "a", "d"] and held.used_bytes == 900
    cache.remember(held, "e", b"x" * 2000)
    cache.remember(held, "d", b"x" * 150)
    assert list(held.items) == ["c", "a", "d"] and held.used_bytes == 950
