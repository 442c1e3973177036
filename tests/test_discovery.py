"""What replicas and seeds tell each other of places: all while it is news, little after that."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from frostpost.cluster import agent as agents
from frostpost.cluster.agent_context import AgentContext
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.machine import Machine
from frostpost.simulator import world as worlds
from frostpost.simulator.node import Node
from frostpost.virtual_synchrony import discovery
from frostpost.virtual_synchrony.agent_messages import DirectoryReply
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.frames import Frame
from frostpost.virtual_synchrony.messages import DiscoveryUpdate

SEED = "@seed:1"
MINUTE_MS = 60_000


class Watched:
    """A ring of three with a seed outside it; keeps the rosters sent, each with its time, sender and receiver."""

    def __init__(self, monkeypatch):
        self.rosters = []
        self.world = worlds.make(5, 0, 3, 0)
        for node in self.world.nodes.values():
            node.core.synchrony.seeds += (SEED,)
        perform = worlds.perform

        def watched(world, node, out):
            self.rosters += [(world.now_ms, node.name, to, b) for to, b in out.sends if isinstance(b, DiscoveryUpdate)]
            perform(world, node, out)

        monkeypatch.setattr(worlds, "perform", watched)

    def play(self, until_ms, from_ms=0):
        worlds.run(self.world, until_ms)
        return [row for row in self.rosters if from_ms <= row[0] < until_ms]

    def sequencer(self):
        return next(iter(self.world.nodes.values())).core.synchrony.configuration.sequencer


def test_settled_ring_reports_to_a_seed_by_its_sequencer_and_without_places(monkeypatch):
    ring = Watched(monkeypatch)
    rows = [row for row in ring.play(60_000, from_ms=20_000) if row[2] == SEED]
    first = ring.sequencer()
    assert all(body.endpoints == () for _, _, _, body in rows)
    by_sender = {name: sum(row[1] == name for row in rows) for name in ring.world.nodes}
    assert by_sender.pop(first) == pytest.approx(80, abs=2)
    assert all(count == pytest.approx(8, abs=1) for count in by_sender.values())


def test_settled_members_repeat_the_list_to_each_other_now_and_then(monkeypatch):
    ring = Watched(monkeypatch)
    rows = [row for row in ring.play(60_000, from_ms=20_000) if row[2] != SEED]
    assert len(rows) == pytest.approx(3 * 2 * 8, abs=6)
    assert all(len(body.endpoints) == 3 for _, _, _, body in rows)


def test_change_is_told_to_everybody_several_times(monkeypatch):
    ring = Watched(monkeypatch)
    ring.play(20_000)
    ring.world.nodes["s4"] = Node("s4", "storage", "a")
    worlds.start(ring.world, "s4")
    rows = ring.play(26_000, from_ms=20_000)
    for sender in ("s1", "s2", "s3"):
        told = [row for row in rows if row[1] == sender]
        assert sum(row[2] == SEED for row in told) >= discovery.ANNOUNCEMENT_REPEATS
        peers = {f"s{n}" for n in range(1, 5)} - {sender}
        for peer in peers:
            assert sum(row[2] == peer and len(row[3].endpoints) == 4 for row in told) >= discovery.ANNOUNCEMENT_REPEATS


def test_replica_outside_a_primary_tells_all_in_every_period(monkeypatch):
    ring = Watched(monkeypatch)
    ring.play(20_000)
    worlds.cut(ring.world, ["s3"], ["s1", "s2"])
    rows = [row for row in ring.play(40_000, from_ms=30_000) if row[1] == "s3"]
    for to, named in ((SEED, 1), ("s1", 3), ("s2", 3)):
        told = [body for _, _, receiver, body in rows if receiver == to]
        assert len(told) == pytest.approx(20, abs=2)
        assert all(len(body.endpoints) == named for body in told)


def endpoint_of(name, incarnation=1):
    return Endpoint(Member(name, incarnation), "storage", "z", name, 7, 0, PROTOCOL_REVISION)


class Seed:
    """A core daemon that hears replicas' rosters."""

    def __init__(self):
        self.clock, self.out = Clock(), []
        settings = DaemonSettings("c1", "core", "z", "h", 7, seeds=("h:7",))
        machine = Machine(seconds=self.clock.seconds)
        self.agent = AgentContext(settings, self.clock, SimpleNamespace(member=Member("c1", 1)), machine)
        self.agent.links["send"] = lambda to, body: self.out.append((to, body))
        agents.lease_client.session_of(self.agent)

    def hear(self, name, endpoints=(), incarnation=1):
        """-> how many places the sender is told, None if it gets no answer."""
        self.out.clear()
        endpoint = endpoint_of(name, incarnation)
        agents.on_frame(
            self.agent, Frame(1, endpoint, "", DiscoveryUpdate(tuple(endpoint_of(p) for p in endpoints), False))
        )
        told = [body for to, body in self.out if isinstance(body, DirectoryReply) and to == f"@{name}:7"]
        return len(told[-1].endpoints) if told else None


def test_seed_answers_a_report_without_places_only_with_news():
    seed = Seed()
    assert seed.hear("s1") == 1
    assert seed.hear("s1") is None
    assert seed.hear("s2") == 2
    assert seed.hear("s1") == 2
    assert seed.hear("s1") is None


def test_seed_answers_a_report_with_places_always():
    seed = Seed()
    seed.hear("s1")
    assert seed.hear("s1", endpoints=("s1", "s2")) == 1
    assert seed.hear("s1", endpoints=("s1", "s2")) == 1


def test_seed_tells_a_new_boot_a_new_charter_and_after_a_minute_again():
    seed = Seed()
    assert seed.hear("s1") == 1
    assert seed.hear("s1", incarnation=2) == 1
    assert seed.hear("s1", incarnation=2) is None
    seed.agent.bootstrap_voters = ("s1",)
    assert seed.hear("s1", incarnation=2) == 1
    seed.clock.advance(MINUTE_MS / 1000)
    assert seed.hear("s1", incarnation=2) == 1
