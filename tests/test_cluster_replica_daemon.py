from random import Random

import pytest
from test_cluster_lease_client import endpoint_of
from test_turn_store_drive import Threads, files_of
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from frostpost.cluster import agent_sessions, assembly, replica_daemon
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon import disk as disks
from frostpost.daemon.machine import Machine
from frostpost.simulator import drives
from frostpost.virtual_synchrony.agent_messages import DirectoryReply, DirectoryRequest, LeaseRequest
from frostpost.virtual_synchrony.configuration import ConfigurationId
from frostpost.virtual_synchrony.events import ConfigurationRecord, PromiseRecord
from frostpost.virtual_synchrony.frames import Frame
from frostpost.virtual_synchrony.messages import DiscoveryUpdate
from frostpost.write_ahead_log import log as write_ahead_logs

CHARTER = ("s1", "s2", "s3")
MEMORY = ConfigurationRecord(ConfigurationId(4, "s2", 1), 0, CHARTER)


def new_house(monkeypatch, records=(), first_start=True):
    clock, out, drive = Clock(), [], drives.Drive(Random(7), {}, {}, {})
    machine = Machine(
        seconds=clock.seconds, in_thread=Threads().run, token=lambda size: "0a" * size, files=drives.files_of(drive)
    )
    monkeypatch.setattr(replica_daemon, "listen", lambda ctx, hear: succeed(None))
    monkeypatch.setattr(replica_daemon, "make_links", lambda ctx: lambda to, body: out.append((to, body)))
    opened = replica_daemon.store.open_store
    monkeypatch.setattr(
        replica_daemon.store,
        "open_store",
        lambda data, machine, **named: opened(data, machine, files_of(drive), **named),
    )
    if records:
        write_ahead_log, _, _ = disks.open_log("/data", machine.files)
        write_ahead_logs.append(write_ahead_log, [disks.encode(r) for r in records])
    settings = DaemonSettings("s1", "storage", "z", "h", 1, seeds=("h:7", "h:8"), first_start=first_start, data="/data")
    stopped = []
    replica = replica_daemon.assemble(settings, clock, machine, stopped.append)
    return replica, out, stopped


def hear(replica, body, name="c1", role="core"):
    replica_daemon.on_frame(replica, Frame(1, endpoint_of(name, role), "", body))


def hellos(out):
    return [to for to, body in out if isinstance(body, DirectoryRequest)]


@pytest.mark.parametrize("records, first_start", [((MEMORY,), True), ((MEMORY,), False), ((), False)])
def test_begins_at_once_with_a_memory_or_at_a_later_start(monkeypatch, records, first_start):
    replica, out, _ = new_house(monkeypatch, records, first_start)
    replica_daemon.start(replica)
    assert not replica.waiting and replica.ctx.core.synchrony.bootstrap_voters == ()
    assert replica.ctx.core.synchrony.log.voters == (CHARTER if records else ())
    replica.reactor.advance(0.15)
    assert hellos(out) == []


@pytest.mark.parametrize("records", [(), (PromiseRecord(5, 1),)])
def test_waits_for_the_charter_at_a_first_start_without_a_memory(monkeypatch, records):
    replica, out, stopped = new_house(monkeypatch, records)
    replica_daemon.start(replica)
    assert replica.waiting and replica.ctx.core is None
    replica.reactor.advance(0.1)
    assert hellos(out) == ["@h:7", "@h:8"]
    hear(replica, DirectoryReply((endpoint_of("s2"),), ()))
    hear(replica, DiscoveryUpdate((), False), "s2", "storage")
    hear(replica, LeaseRequest(0, 0), "e1", "edge")
    assert replica.waiting and replica.ctx.core is None and stopped == []
    hear(replica, DirectoryReply((), CHARTER))
    assert (
        not replica.waiting
        and replica.ctx.core.synchrony.bootstrap_voters == CHARTER
        and replica.bootstrap_voters == CHARTER
    )
    out.clear()
    replica.reactor.advance(0.1)
    assert hellos(out) == []


def test_charter_heard_later_changes_nothing(monkeypatch):
    replica, _, _ = new_house(monkeypatch, first_start=False)
    replica_daemon.start(replica)
    core = replica.ctx.core
    hear(replica, DirectoryReply((), CHARTER))
    assert (
        replica.bootstrap_voters == ()
        and core.synchrony.bootstrap_voters == ()
        and replica.ctx.core.synchrony is core.synchrony
    )


def test_ring_runs_on_for_a_while_without_a_peer_and_grants_nothing(monkeypatch):
    replica, out, stopped = new_house(monkeypatch)
    replica_daemon.start(replica)
    hear(replica, DirectoryReply((endpoint_of("s2", port=9),), CHARTER))
    for _ in range(100):
        replica.reactor.advance(0.05)
    hear(replica, LeaseRequest(77, 0), "e1", "edge")
    assert stopped == [] and (out[-1][1].sent_ms, out[-1][1].lease_ms) == (77, 0)


def test_sequencer_that_opens_greets_each_leaf_it_knows_once_a_configuration(monkeypatch):
    replica, out, _ = new_house(monkeypatch, (MEMORY,))
    replica_daemon.start(replica)
    replica.agent_addresses.addresses = ("h:21",)
    replica.sessions.agents["e2"] = agent_sessions.AgentSession("@h:22", 1, 0, 0)
    replica.reactor.advance(0.1)
    assert [to for to, body in out if isinstance(body, DirectoryReply)] == []
    monkeypatch.setattr(agent_sessions, "is_sequencer", lambda ctx: True)
    for _ in range(5):
        replica.reactor.advance(0.03)
    greeted = [(to, [p.member.name for p in body.endpoints]) for to, body in out if isinstance(body, DirectoryReply)]
    assert greeted == [("@h:21", ["s1"]), ("@h:22", ["s1"])]


def test_leaves_heard_of_late_are_kept_on_disk_and_old_ones_forgotten(monkeypatch):
    replica, _, _ = new_house(monkeypatch, (MEMORY,))
    replica_daemon.start(replica)
    now = replica_daemon.clock_ms(replica.ctx)
    replica.sessions.agents = {
        "e1": agent_sessions.AgentSession("@h:21", 1, 0, now + 5000),
        "e2": agent_sessions.AgentSession("@h:22", 1, 0, now),
    }
    replica.reactor.advance(1.1)
    assert replica_daemon.address_book.open_address_book("/data", replica.machine, "leaves").addresses == ("h:21",)
    agent_sessions.forget_lapsed(replica.sessions, now + agent_sessions.SESSION_RETENTION_MS + 1)
    assert list(replica.sessions.agents) == ["e1"]


def test_settings_read_again_bring_new_seeds_to_a_running_storage_daemon(monkeypatch):
    from types import SimpleNamespace

    from expression import Ok
    from msgspec import structs

    replica, _, _ = new_house(monkeypatch, (MEMORY,))
    replica_daemon.start(replica)
    settings = structs.replace(replica.settings, seeds=("h:9",))
    assembly.reload_settings(replica, SimpleNamespace(reread=lambda: Ok(settings)))
    assert replica.ctx.core.synchrony.seeds == ("@h:9", "@h:7", "@h:8")
