"""Tests of runner list polling and of drains reported by other daemons."""

from itertools import pairwise
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.lease_client import session_of
from frostpost.cluster.list_reading import ListReading, digest_of
from frostpost.daemon.machine import Machine
from frostpost.proxy import runner_discovery
from frostpost.proxy.models import Runner
from frostpost.virtual_synchrony.endpoints import Endpoint, Member


def make_runner(name, **fields):
    return Runner(id=name, service="s", host="10.0.0.1", port=9, zone="z", slots=4, **fields)


def make_agent(list_runners, **overrides):
    clock = Clock()
    settings = SimpleNamespace(
        **dict(dict(list_ms=1200, drain_ms=3000, list_rate_per_s=44.0, lease_ms=1200, idle_ms=1000), **overrides)
    )
    endpoint = Endpoint(Member("e1", 1), "edge", "z", "h", 1, 0)
    agent = AgentContext(settings, clock, endpoint, Machine(seconds=clock.seconds, token=lambda _: "ffff"))
    agent.links["send"] = lambda to, body: agent.attachments.setdefault("sent", []).append(body)
    agent.directory, agent.attachments["reads"] = {}, []
    session_of(agent).sequencer = "s1"
    agent.directory = {"s1": Endpoint(Member("s1", 1), "storage", "z", "h", 2, 0)}

    def fetch():
        agent.attachments["reads"].append(clock.seconds())
        return list_runners()

    agent.attachments["fetch_list"] = fetch
    return agent, clock


def test_drain_reported_by_another_daemon_overrides_an_outdated_list():
    agent, clock = make_agent(lambda: succeed([make_runner("r1"), make_runner("r2")]))
    stop = runner_discovery.poll(agent)
    agent.runner_list.on_draining(("r1", "unknown"))
    assert agent.runners["r1"].draining and not agent.runners["r2"].draining
    clock.advance(3)
    assert len(agent.attachments["reads"]) > 1 and agent.runners["r1"].draining
    clock.advance(20)
    clock.advance(3)
    assert not agent.runners["r1"].draining
    stop()


def test_only_drains_seen_in_the_own_list_are_reported():
    listings = [[make_runner("r1"), make_runner("r2")]]
    agent, clock = make_agent(lambda: succeed(listings[-1]))
    stop = runner_discovery.poll(agent)
    agent.runner_list.on_draining(("r2",))
    assert agent.attachments.get("sent", []) == []
    listings.append([make_runner("r1", draining=True), make_runner("r2")])
    agent.runner_list.on_poll_granted()
    assert [m.draining for m in agent.attachments["sent"]] == [("r1",)]
    stop()


@pytest.mark.parametrize(
    "agents, pages, rate, expected_ms",
    [(1, 1, 44.0, 1200), (3, 1, 44.0, 1200), (8, 1, 44.0, 2400), (66, 2, 44.0, 6000), (66, 2, 440.0, 2400)],
)
def test_reads_after_changes_use_at_most_half_of_the_list_rate(agents, pages, rate, expected_ms):
    agent, _ = make_agent(lambda: succeed([]), list_rate_per_s=rate)
    session_of(agent).agent_count, agent.runner_list.pages = agents, pages
    assert runner_discovery.min_interval_ms(agent) == expected_ms
    assert agents * pages * 1000 / expected_ms <= max(rate / 2, agents * pages / 1.2)


@pytest.mark.parametrize("pages, rate, expected_ms", [(1, 440.0, 300), (2, 44.0, 300), (10, 44.0, 454), (1, 4.0, 500)])
def test_turns_use_at_most_half_of_the_list_rate(pages, rate, expected_ms):
    agent, _ = make_agent(lambda: succeed([]), list_rate_per_s=rate)
    agent.runner_list.pages = pages
    assert runner_discovery.poll_period_ms(agent) == expected_ms
    assert pages * 1000 / expected_ms <= rate / 2 * 1.01


def test_unavailable_list_is_retried_within_half_of_the_drain_interval():
    agent, clock = make_agent(lambda: fail(OSError()))
    stop = runner_discovery.poll(agent)
    for _ in range(200):
        clock.advance(0.05)
    reads = agent.attachments["reads"]
    assert max(b - a for a, b in pairwise(reads)) <= 1.55
    stop()


@pytest.mark.parametrize("agents", [1, 11, 60, 370])
def test_leaderless_reads_are_spread_over_the_turn_period(agents):
    agent, _ = make_agent(lambda: succeed([]), list_rate_per_s=440.0)
    session_of(agent).agent_count = agents
    waits_ms = [runner_discovery.leaderless_wait_ms(agent, step / 100) for step in range(101)]
    assert waits_ms == sorted(waits_ms) and waits_ms[0] == 1500
    assert (waits_ms[-1] - waits_ms[0]) / agents >= 300


def make_agent_in_fleet(listings):
    """Return an agent in a fleet of sixty that has read its list once."""
    agent, clock = make_agent(lambda: succeed(listings[-1]), list_rate_per_s=440.0)
    session_of(agent).agent_count = 60
    stop = runner_discovery.poll(agent)
    assert len(agent.attachments["reads"]) == 1
    return agent, clock, stop


def test_newer_reading_with_another_digest_triggers_a_read():
    listings = [[make_runner("r1")]]
    agent, clock, stop = make_agent_in_fleet(listings)
    clock.advance(4)
    assert len(agent.attachments["reads"]) == 1
    listings.append([make_runner("r1"), make_runner("r2")])
    agent.runner_list.on_newest_reading(ListReading(digest_of(["r1", "r2"]), 3900))
    clock.advance(0.5)
    assert len(agent.attachments["reads"]) == 2 and set(agent.runners) == {"r1", "r2"}
    agent.runner_list.on_newest_reading(ListReading(digest_of(["r1", "r2"]), 4600))
    clock.advance(2)
    assert len(agent.attachments["reads"]) == 2
    stop()


def test_older_or_equal_reading_triggers_no_read():
    agent, clock, stop = make_agent_in_fleet([[make_runner("r1")]])
    clock.advance(4)
    agent.runner_list.on_newest_reading(ListReading(digest_of(["r1", "r2"]), -100))
    agent.runner_list.on_newest_reading(ListReading(digest_of(["r1"]), 3900))
    agent.runner_list.on_newest_reading(ListReading())
    clock.advance(2)
    assert len(agent.attachments["reads"]) == 1
    stop()


def test_constantly_changing_list_respects_the_minimum_interval():
    agent, clock, stop = make_agent_in_fleet([[make_runner("r1")]])
    for digest in range(100):
        agent.runner_list.on_newest_reading(ListReading(digest, int(clock.seconds() * 1000)))
        clock.advance(0.1)
    assert min(b - a for a, b in pairwise(agent.attachments["reads"])) >= 2.4
    stop()


def test_turn_triggers_a_read_and_none_is_requested_while_reading():
    results = [succeed([make_runner("r1")])]
    agent, clock = make_agent(lambda: results[-1], list_rate_per_s=440.0)
    stop = runner_discovery.poll(agent)
    assert agent.runner_list.poll_period_ms() == 300
    results.append(Deferred())
    clock.advance(0.1)
    agent.runner_list.on_poll_granted()
    assert len(agent.attachments["reads"]) == 2 and agent.runner_list.poll_period_ms() == 0
    agent.runner_list.on_poll_granted()
    assert len(agent.attachments["reads"]) == 2
    results[-1].callback([make_runner("r1"), make_runner("r2")])
    assert set(agent.runners) == {"r1", "r2"} and agent.runner_list.poll_period_ms() == 300
    stop()


def test_agent_takes_no_turn_while_its_reads_fail():
    results = [fail(OSError())]
    agent, clock = make_agent(lambda: results[-1])
    stop = runner_discovery.poll(agent)
    assert agent.runner_list.poll_period_ms() == 0
    agent.runner_list.on_poll_granted()
    assert len(agent.attachments["reads"]) == 1
    results.append(succeed([make_runner("r1")]))
    clock.advance(1.3)
    assert len(agent.attachments["reads"]) == 2 and agent.runner_list.poll_period_ms() == 300
    stop()


def test_equal_newer_readings_postpone_the_own_read():
    agent, clock, stop = make_agent_in_fleet([[make_runner("r1")]])
    for _ in range(300):
        agent.runner_list.on_newest_reading(ListReading(digest_of(["r1"]), int(clock.seconds() * 1000)))
        clock.advance(0.1)
    assert len(agent.attachments["reads"]) == 1
    clock.advance(1.5 + 60 * 0.3)
    assert len(agent.attachments["reads"]) == 2
    stop()
