"""The list of runners: how often it is read, and what is known of runners that leave."""

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


def make_runner(name, **more):
    return Runner(id=name, service="s", host="10.0.0.1", port=9, zone="z", slots=4, **more)


def a_leaf(lists, **more):
    clock = Clock()
    settings = SimpleNamespace(
        **dict(dict(list_ms=1200, drain_ms=3000, list_rate_per_s=44.0, lease_ms=1200, idle_ms=1000), **more)
    )
    place = Endpoint(Member("e1", 1), "edge", "z", "h", 1, 0)
    agent = AgentContext(settings, clock, place, Machine(seconds=clock.seconds, token=lambda _: "ffff"))
    agent.links["send"] = lambda to, body: agent.extras.setdefault("sent", []).append(body)
    agent.directory, agent.extras["reads"] = {}, []
    session_of(agent).sequencer = "s1"
    agent.directory = {"s1": Endpoint(Member("s1", 1), "storage", "z", "h", 2, 0)}

    def fetch():
        agent.extras["reads"].append(clock.seconds())
        return lists()

    agent.extras["fetch_list"] = fetch
    return agent, clock


def test_what_another_daemons_list_shows_as_leaving_gets_nothing_though_ones_own_list_lags():
    agent, clock = a_leaf(lambda: succeed([make_runner("r1"), make_runner("r2")]))
    stop = runner_discovery.poll(agent)
    agent.runner_list.on_draining(("r1", "unknown"))
    assert agent.runners["r1"].draining and not agent.runners["r2"].draining
    clock.advance(3)
    assert len(agent.extras["reads"]) > 1 and agent.runners["r1"].draining
    clock.advance(20)
    clock.advance(3)
    assert not agent.runners["r1"].draining
    stop()


def test_a_runner_seen_leaving_is_told_at_once_and_told_ones_are_not_told_on():
    shown = [[make_runner("r1"), make_runner("r2")]]
    agent, clock = a_leaf(lambda: succeed(shown[-1]))
    stop = runner_discovery.poll(agent)
    agent.runner_list.on_draining(("r2",))
    assert agent.extras.get("sent", []) == []
    shown.append([make_runner("r1", draining=True), make_runner("r2")])
    agent.runner_list.on_turn()
    assert [m.draining for m in agent.extras["sent"]] == [("r1",)]
    stop()


@pytest.mark.parametrize(
    "leaves, pages, rate, wanted_ms",
    [(1, 1, 44.0, 1200), (3, 1, 44.0, 1200), (8, 1, 44.0, 2400), (66, 2, 44.0, 6000), (66, 2, 440.0, 2400)],
)
def test_all_daemons_together_read_no_more_than_half_of_the_lists_rate(leaves, pages, rate, wanted_ms):
    agent, _ = a_leaf(lambda: succeed([]), list_rate_per_s=rate)
    session_of(agent).agent_count, agent.runner_list.pages = leaves, pages
    assert runner_discovery.min_interval_ms(agent) == wanted_ms
    assert leaves * pages * 1000 / wanted_ms <= max(rate / 2, leaves * pages / 1.2)


@pytest.mark.parametrize("pages, rate, wanted_ms", [(1, 440.0, 300), (2, 44.0, 300), (10, 44.0, 454), (1, 4.0, 500)])
def test_all_turns_together_take_no_more_than_half_of_the_lists_rate(pages, rate, wanted_ms):
    agent, _ = a_leaf(lambda: succeed([]), list_rate_per_s=rate)
    agent.runner_list.pages = pages
    assert runner_discovery.turn_period_ms(agent) == wanted_ms
    assert pages * 1000 / wanted_ms <= rate / 2 * 1.01


def test_a_list_that_is_down_is_tried_again_within_half_of_the_drain_bound():
    agent, clock = a_leaf(lambda: fail(OSError()))
    stop = runner_discovery.poll(agent)
    for _ in range(200):
        clock.advance(0.05)
    reads = agent.extras["reads"]
    assert max(b - a for a, b in pairwise(reads)) <= 1.55
    stop()


@pytest.mark.parametrize("agents", [1, 11, 60, 370])
def test_without_a_leader_all_agents_together_read_at_about_the_rate_of_the_turns(agents):
    agent, _ = a_leaf(lambda: succeed([]), list_rate_per_s=440.0)
    session_of(agent).agent_count = agents
    waits_ms = [runner_discovery.leaderless_wait_ms(agent, step / 100) for step in range(101)]
    assert waits_ms == sorted(waits_ms) and waits_ms[0] == 1500
    assert (waits_ms[-1] - waits_ms[0]) / agents >= 300


def a_shared_leaf(shown):
    """An agent among sixty that has read its list once."""
    agent, clock = a_leaf(lambda: succeed(shown[-1]), list_rate_per_s=440.0)
    session_of(agent).agent_count = 60
    stop = runner_discovery.poll(agent)
    assert len(agent.extras["reads"]) == 1
    return agent, clock, stop


def test_a_newer_reading_that_shows_another_list_makes_an_agent_read_soon():
    shown = [[make_runner("r1")]]
    agent, clock, stop = a_shared_leaf(shown)
    clock.advance(4)
    assert len(agent.extras["reads"]) == 1
    shown.append([make_runner("r1"), make_runner("r2")])
    agent.runner_list.on_newest(ListReading(digest_of(["r1", "r2"]), 3900))
    clock.advance(0.5)
    assert len(agent.extras["reads"]) == 2 and set(agent.runners) == {"r1", "r2"}
    agent.runner_list.on_newest(ListReading(digest_of(["r1", "r2"]), 4600))
    clock.advance(2)
    assert len(agent.extras["reads"]) == 2
    stop()


def test_an_older_reading_or_the_same_list_makes_nobody_read():
    agent, clock, stop = a_shared_leaf([[make_runner("r1")]])
    clock.advance(4)
    agent.runner_list.on_newest(ListReading(digest_of(["r1", "r2"]), -100))
    agent.runner_list.on_newest(ListReading(digest_of(["r1"]), 3900))
    agent.runner_list.on_newest(ListReading())
    clock.advance(2)
    assert len(agent.extras["reads"]) == 1
    stop()


def test_a_list_that_changes_all_the_time_is_read_no_more_often_than_alone():
    agent, clock, stop = a_shared_leaf([[make_runner("r1")]])
    for n in range(100):
        agent.runner_list.on_newest(ListReading(n, int(clock.seconds() * 1000)))
        clock.advance(0.1)
    assert min(b - a for a, b in pairwise(agent.extras["reads"])) >= 2.4
    stop()


def test_a_turn_makes_an_agent_read_at_once_and_it_asks_for_none_while_it_reads():
    results = [succeed([make_runner("r1")])]
    agent, clock = a_leaf(lambda: results[-1], list_rate_per_s=440.0)
    stop = runner_discovery.poll(agent)
    assert agent.runner_list.turn_period_ms() == 300
    results.append(Deferred())
    clock.advance(0.1)
    agent.runner_list.on_turn()
    assert len(agent.extras["reads"]) == 2 and agent.runner_list.turn_period_ms() == 0
    agent.runner_list.on_turn()
    assert len(agent.extras["reads"]) == 2
    results[-1].callback([make_runner("r1"), make_runner("r2")])
    assert set(agent.runners) == {"r1", "r2"} and agent.runner_list.turn_period_ms() == 300
    stop()


def test_an_agent_whose_readings_fail_takes_no_turn_until_one_succeeds():
    results = [fail(OSError())]
    agent, clock = a_leaf(lambda: results[-1])
    stop = runner_discovery.poll(agent)
    assert agent.runner_list.turn_period_ms() == 0
    agent.runner_list.on_turn()
    assert len(agent.extras["reads"]) == 1
    results.append(succeed([make_runner("r1")]))
    clock.advance(1.3)
    assert len(agent.extras["reads"]) == 2 and agent.runner_list.turn_period_ms() == 300
    stop()


def test_newer_readings_of_the_same_list_put_off_an_agents_own():
    agent, clock, stop = a_shared_leaf([[make_runner("r1")]])
    for _ in range(300):
        agent.runner_list.on_newest(ListReading(digest_of(["r1"]), int(clock.seconds() * 1000)))
        clock.advance(0.1)
    assert len(agent.extras["reads"]) == 1
    clock.advance(1.5 + 60 * 0.3)
    assert len(agent.extras["reads"]) == 2
    stop()
