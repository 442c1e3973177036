from random import Random

import pytest
from test_cluster_lease_client import endpoint_of
from test_turn_store_disk import Threads, files_of
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from frostpost.cluster import agent_sessions, assembly, replica_daemon
from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon import disk as disks
from frostpost.daemon import stored_log
from frostpost.daemon.machine import Machine
from frostpost.simulator import simulated_disk
from frostpost.virtual_synchrony.agent_messages import DirectoryReply, DirectoryRequest, LeaseRequest
from frostpost.virtual_synchrony.configuration import ConfigurationId
from frostpost.virtual_synchrony.events import ConfigurationRecord, PromiseRecord
from frostpost.virtual_synchrony.frames import Frame
from frostpost.virtual_synchrony.messages import DiscoveryUpdate
from frostpost.write_ahead_log import log as write_ahead_logs

VOTERS = ("s1", "s2", "s3")
OPEN_STORE = replica_daemon.store.open_store
CONFIGURATION_RECORD = ConfigurationRecord(ConfigurationId(4, "s2", 1), 0, VOTERS)


def new_disk():
    return simulated_disk.SimulatedDisk(Random(7), {}, {}, {})


def new_replica(monkeypatch, records=(), first_start=True, disk=None, seeds=("h:7", "h:8")):
    clock, out, disk = Clock(), [], disk or new_disk()
    machine = Machine(
        seconds=clock.seconds,
        in_thread=Threads().run,
        token=lambda size: "0a" * size,
        files=simulated_disk.files_of(disk),
    )
    monkeypatch.setattr(replica_daemon, "listen", lambda ctx, on_frame: succeed(None))
    monkeypatch.setattr(replica_daemon, "make_links", lambda ctx: lambda to, body: out.append((to, body)))
    monkeypatch.setattr(
        replica_daemon.store,
        "open_store",
        lambda data, machine, **options: OPEN_STORE(data, machine, files_of(disk), **options),
    )
    if records:
        write_ahead_log, _, _ = stored_log.open_log("/data", machine.files)
        write_ahead_logs.append(write_ahead_log, [disks.encode(r) for r in records])
    settings = DaemonSettings("s1", "storage", "z", "h", 1, seeds=seeds, first_start=first_start, data="/data")
    stopped = []
    replica = replica_daemon.assemble(settings, clock, machine, stopped.append)
    return replica, out, stopped


def receive(replica, body, name="c1", role="core"):
    replica_daemon.on_frame(replica, Frame(1, endpoint_of(name, role), "", body))


def directory_requests(out):
    return [to for to, body in out if isinstance(body, DirectoryRequest)]


@pytest.mark.parametrize(
    "records, first_start", [((CONFIGURATION_RECORD,), True), ((CONFIGURATION_RECORD,), False), ((), False)]
)
def test_the_core_starts_at_once_with_a_stored_log_or_at_a_later_start(monkeypatch, records, first_start):
    replica, out, _ = new_replica(monkeypatch, records, first_start)
    replica_daemon.start(replica)
    assert not replica.awaiting_bootstrap and replica.ctx.core.synchrony.bootstrap_voters == ()
    assert replica.ctx.core.synchrony.log.voters == (VOTERS if records else ())
    replica.reactor.advance(0.15)
    assert directory_requests(out) == []


@pytest.mark.parametrize("records", [(), (PromiseRecord(5, 1),)])
def test_the_core_awaits_the_bootstrap_record_at_a_first_start_without_a_stored_log(monkeypatch, records):
    replica, out, stopped = new_replica(monkeypatch, records)
    replica_daemon.start(replica)
    assert replica.awaiting_bootstrap and replica.ctx.core is None
    replica.reactor.advance(0.1)
    assert directory_requests(out) == ["@h:7", "@h:8"]
    receive(replica, DirectoryReply((endpoint_of("s2"),), ()))
    receive(replica, DiscoveryUpdate((), False), "s2", "storage")
    receive(replica, LeaseRequest(0, 0), "e1", "edge")
    assert replica.awaiting_bootstrap and replica.ctx.core is None and stopped == []
    receive(replica, DirectoryReply((), VOTERS))
    assert (
        not replica.awaiting_bootstrap
        and replica.ctx.core.synchrony.bootstrap_voters == VOTERS
        and replica.bootstrap_voters == VOTERS
    )
    out.clear()
    replica.reactor.advance(0.1)
    assert directory_requests(out) == []


def restarted_before_the_founding(monkeypatch, seeds=("h:8", "h:9")):
    disk = new_disk()
    replica_daemon.start(new_replica(monkeypatch, disk=disk)[0])
    simulated_disk.kill(disk, [])
    replica, out, _ = new_replica(monkeypatch, first_start=False, disk=disk, seeds=seeds)
    replica_daemon.start(replica)
    return replica, out


def test_a_replica_killed_before_the_founding_goes_on_awaiting_the_record_from_the_first_seeds_too(monkeypatch):
    """Guards against review/5: all replicas killed then began without voters, and none ever opened."""
    replica, out = restarted_before_the_founding(monkeypatch)
    replica.reactor.advance(0.1)
    assert replica.awaiting_bootstrap and directory_requests(out) == ["@h:7", "@h:8", "@h:9"]
    receive(replica, DirectoryReply((endpoint_of("s2"), endpoint_of("s1")), ()))
    assert replica.awaiting_bootstrap
    receive(replica, DirectoryReply((), VOTERS))
    assert replica.ctx.core.synchrony.bootstrap_voters == VOTERS


def test_a_replica_without_the_record_joins_a_running_system_without_voters(monkeypatch):
    replica, _ = restarted_before_the_founding(monkeypatch)
    receive(replica, DirectoryReply((endpoint_of("s2"), endpoint_of("s3")), ()))
    assert not replica.awaiting_bootstrap and replica.ctx.core.synchrony.bootstrap_voters == ()


@pytest.mark.parametrize("damaged", [False, True])
def test_a_replica_whose_log_was_damaged_begins_without_voters_from_then_on(monkeypatch, damaged):
    disk = new_disk()
    records = (CONFIGURATION_RECORD, CONFIGURATION_RECORD)
    replica, _, _ = new_replica(monkeypatch, records, disk=disk)
    write_ahead_logs.sync(replica.ctx.disk.write_ahead_log)
    simulated_disk.kill(disk, [])
    if damaged:
        disk.names["/data/log"].data[20] ^= 0x5A
    for _ in range(2):
        replica, _, _ = new_replica(monkeypatch, first_start=False, disk=disk)
        replica_daemon.start(replica)
        assert not replica.awaiting_bootstrap and replica.ctx.core.synchrony.bootstrap_voters == ()
        assert replica.ctx.core.synchrony.log.voters == (() if damaged else VOTERS)
        assert replica.first_seeds == (() if damaged else ("h:7", "h:8"))
        simulated_disk.kill(disk, [])


def test_a_later_bootstrap_record_changes_nothing(monkeypatch):
    replica, _, _ = new_replica(monkeypatch, first_start=False)
    replica_daemon.start(replica)
    core = replica.ctx.core
    receive(replica, DirectoryReply((), VOTERS))
    assert (
        replica.bootstrap_voters == ()
        and core.synchrony.bootstrap_voters == ()
        and replica.ctx.core.synchrony is core.synchrony
    )


def test_a_replica_without_peers_keeps_running_and_grants_no_lease(monkeypatch):
    replica, out, stopped = new_replica(monkeypatch)
    replica_daemon.start(replica)
    receive(replica, DirectoryReply((endpoint_of("s2", port=9),), VOTERS))
    for _ in range(100):
        replica.reactor.advance(0.05)
    receive(replica, LeaseRequest(77, 0), "e1", "edge")
    assert stopped == [] and (out[-1][1].sent_ms, out[-1][1].lease_ms) == (77, 0)


def test_a_new_leader_announces_itself_to_each_known_agent_once_per_configuration(monkeypatch):
    replica, out, _ = new_replica(monkeypatch, (CONFIGURATION_RECORD,))
    replica_daemon.start(replica)
    replica.agent_addresses.addresses = ("h:21",)
    replica.sessions.agents["e2"] = agent_sessions.AgentSession("@h:22", 1, 0, 0)
    replica.reactor.advance(0.1)
    assert [to for to, body in out if isinstance(body, DirectoryReply)] == []
    monkeypatch.setattr(agent_sessions, "is_sequencer", lambda ctx: True)
    for _ in range(5):
        replica.reactor.advance(0.03)
    announced = [(to, [p.member.name for p in body.endpoints]) for to, body in out if isinstance(body, DirectoryReply)]
    assert announced == [("@h:21", ["s1"]), ("@h:22", ["s1"])]


def test_agents_with_running_leases_are_stored_and_expired_sessions_removed(monkeypatch):
    replica, _, _ = new_replica(monkeypatch, (CONFIGURATION_RECORD,))
    replica_daemon.start(replica)
    now = replica_daemon.clock_ms(replica.ctx)
    replica.sessions.agents = {
        "e1": agent_sessions.AgentSession("@h:21", 1, 0, now + 5000),
        "e2": agent_sessions.AgentSession("@h:22", 1, 0, now),
    }
    replica.reactor.advance(1.1)
    assert replica_daemon.address_store.open_address_store("/data", replica.machine, "leaves").addresses == ("h:21",)
    agent_sessions.remove_expired_sessions(replica.sessions, now + agent_sessions.SESSION_RETENTION_MS + 1)
    assert list(replica.sessions.agents) == ["e1"]


def test_reloaded_settings_add_seeds_to_a_running_storage_daemon(monkeypatch):
    from types import SimpleNamespace

    from expression import Ok
    from msgspec import structs

    replica, _, _ = new_replica(monkeypatch, (CONFIGURATION_RECORD,))
    replica_daemon.start(replica)
    settings = structs.replace(replica.settings, seeds=("h:9",))
    assembly.reload_settings(replica, SimpleNamespace(reread=lambda: Ok(settings)))
    assert replica.ctx.core.synchrony.seeds == ("@h:9", "@h:7", "@h:8")


def test_reloaded_settings_are_those_of_the_leaders_platform_tasks(monkeypatch):
    from types import SimpleNamespace

    from expression import Ok
    from msgspec import structs

    replica, _, _ = new_replica(monkeypatch, (CONFIGURATION_RECORD,))
    settings = structs.replace(replica.settings, platform_tasks=("usage",), report_window_ms=7000)
    assembly.reload_settings(replica, SimpleNamespace(reread=lambda: Ok(settings)))
    assert replica.sessions.settings == settings
