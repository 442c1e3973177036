from random import Random

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from frostpost.cluster import assembly, ring, serving
from frostpost.cluster.settings import DaemonSettings
from frostpost.write_ahead_log import disk as furrows
from frostpost.virtual_synchrony.events import Booted, Installed
from frostpost.virtual_synchrony.outer import Directory, Hello, Renew
from frostpost.virtual_synchrony.words import ConfigurationId, Frame, Roster
from frostpost.daemon import disk as disks
from frostpost.daemon.machine import Machine
from frostpost.simulator import drives
from test_canopy_lease import place_of
from test_silo_drive import Threads, files_of

CHARTER = ("s1", "s2", "s3")
MEMORY = Installed(ConfigurationId(4, "s2", 1), 0, CHARTER)


def new_house(monkeypatch, records=(), first_start=True):
    clock, out, drive = Clock(), [], drives.Drive(Random(7), {}, {}, {})
    machine = Machine(
        seconds=clock.seconds, inThread=Threads().run, token=lambda size: "0a" * size, files=drives.filesOf(drive)
    )
    monkeypatch.setattr(ring, "listen", lambda ctx, hear: succeed(None))
    monkeypatch.setattr(ring, "sender", lambda ctx: lambda to, body: out.append((to, body)))
    opened = ring.store.open_
    monkeypatch.setattr(
        ring.store, "open_", lambda data, machine, **named: opened(data, machine, files_of(drive), **named)
    )
    if records:
        furrow, _, _ = disks.open_("/data", machine.files)
        furrows.append(furrow, [disks.encode(r) for r in records])
    settings = DaemonSettings("s1", "storage", "z", "h", 1, seeds=("h:7", "h:8"), first_start=first_start, data="/data")
    stopped = []
    house = ring.assemble(settings, clock, machine, stopped.append)
    return house, out, stopped


def hear(house, body, name="c1", role="core"):
    ring.received(house, Frame(1, place_of(name, role), "", body))


def hellos(out):
    return [to for to, body in out if isinstance(body, Hello)]


@pytest.mark.parametrize("records, first_start", [((MEMORY,), True), ((MEMORY,), False), ((), False)])
def test_begins_at_once_with_a_memory_or_at_a_later_start(monkeypatch, records, first_start):
    house, out, _ = new_house(monkeypatch, records, first_start)
    ring.start(house)
    assert not house.waiting and house.ctx.core.hedge.voters0 == ()
    assert house.ctx.core.hedge.log.voters == (CHARTER if records else ())
    house.reactor.advance(0.15)
    assert hellos(out) == []


@pytest.mark.parametrize("records", [(), (Booted(5, 1),)])
def test_waits_for_the_charter_at_a_first_start_without_a_memory(monkeypatch, records):
    house, out, stopped = new_house(monkeypatch, records)
    ring.start(house)
    assert house.waiting and house.ctx.core is None
    house.reactor.advance(0.1)
    assert hellos(out) == ["@h:7", "@h:8"]
    hear(house, Directory((place_of("s2"),), ()))
    hear(house, Roster((), False), "s2", "storage")
    hear(house, Renew(0, 0), "e1", "edge")
    assert house.waiting and house.ctx.core is None and stopped == []
    hear(house, Directory((), CHARTER))
    assert not house.waiting and house.ctx.core.hedge.voters0 == CHARTER and house.charter == CHARTER
    out.clear()
    house.reactor.advance(0.1)
    assert hellos(out) == []


def test_charter_heard_later_changes_nothing(monkeypatch):
    house, _, _ = new_house(monkeypatch, first_start=False)
    ring.start(house)
    core = house.ctx.core
    hear(house, Directory((), CHARTER))
    assert house.charter == () and core.hedge.voters0 == () and house.ctx.core.hedge is core.hedge


def test_ring_runs_on_for_a_while_without_a_peer_and_grants_nothing(monkeypatch):
    house, out, stopped = new_house(monkeypatch)
    ring.start(house)
    hear(house, Directory((place_of("s2", port=9),), CHARTER))
    for _ in range(100):
        house.reactor.advance(0.05)
    hear(house, Renew(77, 0), "e1", "edge")
    assert stopped == [] and (out[-1][1].sent_ms, out[-1][1].lease_ms) == (77, 0)


def test_sequencer_that_opens_greets_each_leaf_it_knows_once_a_configuration(monkeypatch):
    house, out, _ = new_house(monkeypatch, (MEMORY,))
    ring.start(house)
    house.leaves.addresses = ("h:21",)
    house.sessions.leaves["e2"] = serving.LeafSeen("@h:22", 1, 0, 0)
    house.reactor.advance(0.1)
    assert [to for to, body in out if isinstance(body, Directory)] == []
    monkeypatch.setattr(serving, "sequencing", lambda ctx: True)
    for _ in range(5):
        house.reactor.advance(0.03)
    greeted = [(to, [p.member.name for p in body.places]) for to, body in out if isinstance(body, Directory)]
    assert greeted == [("@h:21", ["s1"]), ("@h:22", ["s1"])]


def test_leaves_heard_of_late_are_kept_on_disk_and_old_ones_forgotten(monkeypatch):
    house, _, _ = new_house(monkeypatch, (MEMORY,))
    ring.start(house)
    now = ring.nowMs(house.ctx)
    house.sessions.leaves = {
        "e1": serving.LeafSeen("@h:21", 1, 0, now + 5000),
        "e2": serving.LeafSeen("@h:22", 1, 0, now),
    }
    house.reactor.advance(1.1)
    assert ring.peers.open_("/data", house.machine, "leaves").addresses == ("h:21",)
    serving.forget(house.sessions, now + serving.FORGET_MS + 1)
    assert list(house.sessions.leaves) == ["e1"]


def test_settings_read_again_bring_new_seeds_to_a_running_storage_daemon(monkeypatch):
    from types import SimpleNamespace

    from expression import Ok
    from msgspec import structs

    house, _, _ = new_house(monkeypatch, (MEMORY,))
    ring.start(house)
    settings = structs.replace(house.settings, seeds=("h:9",))
    assembly.reread(house, SimpleNamespace(reread=lambda: Ok(settings)))
    assert house.ctx.core.hedge.seeds == ("@h:9", "@h:7", "@h:8")
