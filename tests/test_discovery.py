"""Announcements between replicas and seeds: frequent after a change, rare otherwise."""

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


class RecordedGroup:
    """A group of three replicas with a seed outside it; records sent updates with time, sender, receiver and body."""

    def __init__(self, monkeypatch):
        self.updates = []
        self.world = worlds.create_world(5, 0, 3, 0)
        for node in self.world.nodes.values():
            node.core.synchrony.seeds += (SEED,)
        perform = worlds.perform

        def recording_perform(world, node, out):
            self.updates += [
                (world.now_ms, node.name, to, body) for to, body in out.sends if isinstance(body, DiscoveryUpdate)
            ]
            perform(world, node, out)

        monkeypatch.setattr(worlds, "perform", recording_perform)

    def play(self, until_ms, from_ms=0):
        worlds.run(self.world, until_ms)
        return [row for row in self.updates if from_ms <= row[0] < until_ms]

    def sequencer(self):
        return next(iter(self.world.nodes.values())).core.synchrony.configuration.sequencer


def test_open_primary_reports_to_a_seed_without_endpoints_mostly_by_its_sequencer(monkeypatch):
    group = RecordedGroup(monkeypatch)
    rows = [row for row in group.play(60_000, from_ms=20_000) if row[2] == SEED]
    sequencer = group.sequencer()
    assert all(body.endpoints == () for _, _, _, body in rows)
    by_sender = {name: sum(row[1] == name for row in rows) for name in group.world.nodes}
    assert by_sender.pop(sequencer) == pytest.approx(80, abs=2)
    assert all(count == pytest.approx(8, abs=1) for count in by_sender.values())


def test_members_of_an_open_primary_refresh_their_directories_rarely(monkeypatch):
    group = RecordedGroup(monkeypatch)
    rows = [row for row in group.play(60_000, from_ms=20_000) if row[2] != SEED]
    assert len(rows) == pytest.approx(3 * 2 * 8, abs=6)
    assert all(len(body.endpoints) == 3 for _, _, _, body in rows)


def test_change_is_announced_repeatedly_to_seeds_and_peers(monkeypatch):
    group = RecordedGroup(monkeypatch)
    group.play(20_000)
    group.world.nodes["s4"] = Node("s4", "storage", "a")
    worlds.start(group.world, "s4")
    rows = group.play(26_000, from_ms=20_000)
    for sender in ("s1", "s2", "s3"):
        sent = [row for row in rows if row[1] == sender]
        assert sum(row[2] == SEED for row in sent) >= discovery.ANNOUNCEMENT_REPEATS
        peers = {f"s{n}" for n in range(1, 5)} - {sender}
        for peer in peers:
            assert sum(row[2] == peer and len(row[3].endpoints) == 4 for row in sent) >= discovery.ANNOUNCEMENT_REPEATS


def test_replica_outside_a_primary_announces_in_every_period(monkeypatch):
    group = RecordedGroup(monkeypatch)
    group.play(20_000)
    worlds.cut_links(group.world, ["s3"], ["s1", "s2"])
    rows = [row for row in group.play(40_000, from_ms=30_000) if row[1] == "s3"]
    for receiver_name, endpoint_count in ((SEED, 1), ("s1", 3), ("s2", 3)):
        sent = [body for _, _, receiver, body in rows if receiver == receiver_name]
        assert len(sent) == pytest.approx(20, abs=2)
        assert all(len(body.endpoints) == endpoint_count for body in sent)


def replica_endpoint(name, incarnation=1):
    return Endpoint(Member(name, incarnation), "storage", "z", name, 7, 0, PROTOCOL_REVISION)


class Seed:
    """A core daemon that receives the replicas' discovery updates."""

    def __init__(self):
        self.clock, self.out = Clock(), []
        settings = DaemonSettings("c1", "core", "z", "h", 7, seeds=("h:7",))
        machine = Machine(seconds=self.clock.seconds)
        self.agent = AgentContext(settings, self.clock, SimpleNamespace(member=Member("c1", 1)), machine)
        self.agent.links["send"] = lambda to, body: self.out.append((to, body))
        agents.lease_client.session_of(self.agent)

    def receive(self, name, endpoints=(), incarnation=1):
        """Return the number of endpoints in the reply to the sender; None if there is no reply."""
        self.out.clear()
        endpoint = replica_endpoint(name, incarnation)
        agents.on_frame(
            self.agent,
            Frame(1, endpoint, "", DiscoveryUpdate(tuple(replica_endpoint(peer) for peer in endpoints), False)),
        )
        replies = [body for to, body in self.out if isinstance(body, DirectoryReply) and to == f"@{name}:7"]
        return len(replies[-1].endpoints) if replies else None


def test_seed_replies_to_a_report_without_endpoints_only_after_a_change():
    seed = Seed()
    assert seed.receive("s1") == 1
    assert seed.receive("s1") is None
    assert seed.receive("s2") == 2
    assert seed.receive("s1") == 2
    assert seed.receive("s1") is None


def test_seed_always_replies_to_a_report_with_endpoints():
    seed = Seed()
    seed.receive("s1")
    assert seed.receive("s1", endpoints=("s1", "s2")) == 1
    assert seed.receive("s1", endpoints=("s1", "s2")) == 1


def test_seed_replies_to_a_new_incarnation_after_bootstrap_and_after_a_minute():
    seed = Seed()
    assert seed.receive("s1") == 1
    assert seed.receive("s1", incarnation=2) == 1
    assert seed.receive("s1", incarnation=2) is None
    seed.agent.bootstrap_voters = ("s1",)
    assert seed.receive("s1", incarnation=2) == 1
    seed.clock.advance(MINUTE_MS / 1000)
    assert seed.receive("s1", incarnation=2) == 1
