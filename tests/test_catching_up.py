"""A member far behind catches up by snapshot and tail in bounded time, under traffic, and no lease lapses meanwhile."""

import pytest

from frostpost.daemon import snapshotting
from frostpost.daemon.core import OperationDecided
from frostpost.ledger.operations import SetConfig
from frostpost.simulator import world as worlds
from frostpost.simulator.ledger import ledger as ledger_faults
from frostpost.simulator.storm import ask, serves
from frostpost.virtual_synchrony.bounds import Bounds

DOCUMENTS = 300
CHANGE_MS = 5
BOUNDS = {"piece_bytes": 300, "batch": 16}


def busy_world(seed=1, **bounds):
    """A world whose ledger holds many documents, with an operator that changes one of them every few ms."""
    world = worlds.make(seed, 0, 4, 0, Bounds(**{**BOUNDS, **bounds}), voters=3)
    worlds.run(world, 1500)
    done = []
    world.tap = lambda world, node, answer: done.append(world.now_ms) if isinstance(answer, OperationDecided) else None
    for number in range(DOCUMENTS):
        change(world, f"templates/t{number}")
        worlds.run(world, world.now_ms + 3)
    keep_changing(world)
    return world, done


def change(world, path):
    node = next((n for n in world.nodes.values() if serves(world, n)), None)
    if node is not None:
        mark = node.core.ledger.configs.get(path)
        ask(world, node.name, SetConfig(path, "d" * 40, 1, mark.version if mark else 0, "me", 1, ()))


def keep_changing(world):
    change(world, "templates/t0")
    worlds.at(world, CHANGE_MS, "call", keep_changing)


def wiped(world, names):
    for name in names:
        worlds.kill(world, name, True)
        world.nodes[name].disk.lasting = []


def whole_after_ms(world, names, wait_ms):
    began_ms = world.now_ms
    while world.now_ms < began_ms + wait_ms:
        cores = [world.nodes[n].core for n in names]
        if all(core.synchrony.primary.ready and core.synchrony.primary.opened for core in cores):
            return world.now_ms - began_ms
        worlds.run(world, world.now_ms + 10)
    return None


@pytest.mark.parametrize("names", (("s4",), ("s3", "s4")))
@pytest.mark.parametrize("rewrite_entries", (5, 40))
def test_a_wiped_member_is_whole_soon_although_others_rewrite_their_logs_under_traffic(names, rewrite_entries):
    world, done = busy_world(rewrite_entries=rewrite_entries)
    wiped(world, names)
    worlds.run(world, world.now_ms + 1500)
    for name in names:
        worlds.start(world, name)
    assert whole_after_ms(world, names, 3000) is not None
    assert done[-1] > world.now_ms - 100
    assert ledger_faults(world, 0) == []


def test_leases_hold_while_all_members_take_snapshots_longer_than_detection_and_lease():
    world, _ = busy_world(rewrite_entries=150, slice_records=3)
    installs = {n.name: n.core.synchrony.counts["installs"] for n in world.nodes.values()}
    longest_ms, since_ms, until_ms = 0, None, world.now_ms + 8000
    while world.now_ms < until_ms:
        worlds.run(world, world.now_ms + 10)
        assert all(serves(world, node) for node in world.nodes.values())
        taking = [n for n in world.nodes.values() if n.core.snapshots.taking is not None]
        since_ms = (world.now_ms if since_ms is None else since_ms) if len(taking) == len(world.nodes) else None
        longest_ms = max(longest_ms, world.now_ms - since_ms) if since_ms is not None else longest_ms
    assert longest_ms > world.bounds.lease_ms > world.bounds.detect_ms
    assert installs == {n.name: n.core.synchrony.counts["installs"] for n in world.nodes.values()}
    assert ledger_faults(world, 0) == []


def test_a_member_that_loads_a_snapshot_in_slices_serves_only_when_it_is_whole():
    world, _ = busy_world(rewrite_entries=40, slice_records=15)
    wiped(world, ["s3"])
    worlds.run(world, world.now_ms + 1000)
    worlds.start(world, "s3")
    synchrony, loading, waiting = world.nodes["s3"].core.synchrony, 0, 0
    for _ in range(400):
        worlds.run(world, world.now_ms + 10)
        core = world.nodes["s3"].core
        loading += core.snapshots.loading is not None
        waiting = max(waiting, len(synchrony.pending_entries))
        assert not serves(world, world.nodes["s3"]) or core.ledger.index == synchrony.applied > synchrony.primary.base
        assert core.snapshots.loading is None or not serves(world, world.nodes["s3"])
    assert loading > 10 and serves(world, world.nodes["s3"]) and synchrony.primary.ready
    assert waiting < 4000 / CHANGE_MS
    assert ledger_faults(world, 0) == []


def test_a_snapshot_that_nobody_fetches_any_more_is_dropped():
    world, _ = busy_world(rewrite_entries=40)
    wiped(world, ["s4"])
    worlds.start(world, "s4")
    assert whole_after_ms(world, ["s4"], 3000) is not None
    assert any(n.core.snapshots.served for n in world.nodes.values())
    worlds.run(world, world.now_ms + snapshotting.IDLE_RATIO * world.bounds.detect_ms + 500)
    assert not any(n.core.snapshots.served for n in world.nodes.values())


def not_paused(core, out, for_log):
    work = snapshotting.take(core.ledger, core.synchrony.bounds.slice_records)
    core.snapshots.taking = snapshotting.Taking(core.synchrony.applied, work, for_log, 0)


def always_anew(core):
    served = core.snapshots.served
    return served is not None and served.index == core.synchrony.applied


@pytest.mark.parametrize("slice_records", (3, 2000))
def test_a_new_configuration_opens_as_soon_while_snapshots_are_being_taken(slice_records):
    world, _ = busy_world(rewrite_entries=150, slice_records=slice_records)
    while slice_records < 2000 and not all(n.core.snapshots.taking for n in world.nodes.values()):
        worlds.run(world, world.now_ms + 10)
    worlds.kill(world, "s1")
    killed_ms, gap_ms = world.now_ms, 0
    while world.now_ms < killed_ms + 2000:
        worlds.run(world, world.now_ms + 10)
        rest = [n for n in world.nodes.values() if n.core is not None]
        if not any(serves(world, n) for n in rest):
            gap_ms += 10
    assert all(serves(world, n) for n in rest)
    assert gap_ms < world.bounds.detect_ms


PLANTS = {
    "entries are applied while a snapshot is taken": (
        "begin_taking",
        not_paused,
        test_a_member_that_loads_a_snapshot_in_slices_serves_only_when_it_is_whole,
    ),
    "each piece asked for later makes a new snapshot": (
        "is_usable",
        always_anew,
        lambda: test_a_wiped_member_is_whole_soon_although_others_rewrite_their_logs_under_traffic(("s3", "s4"), 5),
    ),
    "a snapshot under way holds up the opening": (
        "give_way",
        lambda core, out: None,
        lambda: test_a_new_configuration_opens_as_soon_while_snapshots_are_being_taken(3),
    ),
}


@pytest.mark.parametrize("plant", PLANTS)
def test_each_planted_fault_is_found(plant, monkeypatch):
    name, fault, check = PLANTS[plant]
    monkeypatch.setattr(snapshotting, name, fault)
    with pytest.raises((AssertionError, RuntimeError)):
        check()
