"""Catch-up of a far outdated member by snapshot and log completes under load and lets no lease expire."""

import pytest

from frostpost.daemon import snapshotting
from frostpost.daemon.core import OperationDecided
from frostpost.ledger.operations import SetConfig
from frostpost.simulator import world as worlds
from frostpost.simulator.ledger_checks import find_ledger_violations
from frostpost.simulator.storm import serves, submit
from frostpost.virtual_synchrony.bounds import Bounds

DOCUMENTS = 300
CHANGE_INTERVAL_MS = 5
BOUNDS = {"piece_bytes": 300, "batch": 16}


def busy_world(seed=1, **bounds):
    """A world whose ledger contains many documents, one of which an operator changes every few milliseconds."""
    world = worlds.create_world(seed, 0, 4, 0, Bounds(**{**BOUNDS, **bounds}), voters=3)
    worlds.run(world, 1500)
    decided_ms = []
    world.on_notification = lambda world, node, answer: (
        decided_ms.append(world.now_ms) if isinstance(answer, OperationDecided) else None
    )
    for number in range(DOCUMENTS):
        change(world, f"templates/t{number}")
        worlds.run(world, world.now_ms + 3)
    keep_changing(world)
    return world, decided_ms


def change(world, path):
    node = next((candidate for candidate in world.nodes.values() if serves(world, candidate)), None)
    if node is not None:
        current = node.core.ledger.configs.get(path)
        submit(world, node.name, SetConfig(path, "d" * 40, 1, current.version if current else 0, "me", 1, ()))


def keep_changing(world):
    change(world, "templates/t0")
    worlds.schedule(world, CHANGE_INTERVAL_MS, "call", keep_changing)


def wipe(world, names):
    for name in names:
        worlds.kill(world, name, True)
        world.nodes[name].disk.synced_records = []


def complete_after_ms(world, names, wait_ms):
    start_ms = world.now_ms
    while world.now_ms < start_ms + wait_ms:
        cores = [world.nodes[name].core for name in names]
        if all(core.synchrony.primary.ready and core.synchrony.primary.opened for core in cores):
            return world.now_ms - start_ms
        worlds.run(world, world.now_ms + 10)
    return None


@pytest.mark.parametrize("names", (("s4",), ("s3", "s4")))
@pytest.mark.parametrize("rewrite_entries", (5, 40))
def test_wiped_member_catches_up_while_the_others_compact_their_logs_under_load(names, rewrite_entries):
    world, decided_ms = busy_world(rewrite_entries=rewrite_entries)
    wipe(world, names)
    worlds.run(world, world.now_ms + 1500)
    for name in names:
        worlds.start(world, name)
    assert complete_after_ms(world, names, 3000) is not None
    assert decided_ms[-1] > world.now_ms - 100
    assert find_ledger_violations(world, 0) == []


def test_leases_hold_while_all_members_encode_snapshots_longer_than_detection_and_lease():
    world, _ = busy_world(rewrite_entries=150, slice_records=3)
    installs = {node.name: node.core.synchrony.counts["installs"] for node in world.nodes.values()}
    longest_ms, all_since_ms, until_ms = 0, None, world.now_ms + 8000
    while world.now_ms < until_ms:
        worlds.run(world, world.now_ms + 10)
        assert all(serves(world, node) for node in world.nodes.values())
        snapshotting_nodes = [node for node in world.nodes.values() if node.core.snapshots.taking is not None]
        all_since_ms = (
            (world.now_ms if all_since_ms is None else all_since_ms)
            if len(snapshotting_nodes) == len(world.nodes)
            else None
        )
        longest_ms = max(longest_ms, world.now_ms - all_since_ms) if all_since_ms is not None else longest_ms
    assert longest_ms > world.bounds.lease_ms > world.bounds.detect_ms
    assert installs == {node.name: node.core.synchrony.counts["installs"] for node in world.nodes.values()}
    assert find_ledger_violations(world, 0) == []


def test_member_loading_a_snapshot_in_slices_serves_only_once_it_is_complete():
    world, _ = busy_world(rewrite_entries=40, slice_records=15)
    wipe(world, ["s3"])
    worlds.run(world, world.now_ms + 1000)
    worlds.start(world, "s3")
    synchrony, loading_steps, max_pending = world.nodes["s3"].core.synchrony, 0, 0
    for _ in range(400):
        worlds.run(world, world.now_ms + 10)
        core = world.nodes["s3"].core
        loading_steps += core.snapshots.loading is not None
        max_pending = max(max_pending, len(synchrony.pending_entries))
        assert not serves(world, world.nodes["s3"]) or core.ledger.index == synchrony.applied > synchrony.primary.base
        assert core.snapshots.loading is None or not serves(world, world.nodes["s3"])
    assert loading_steps > 10 and serves(world, world.nodes["s3"]) and synchrony.primary.ready
    assert max_pending < 4000 / CHANGE_INTERVAL_MS
    assert find_ledger_violations(world, 0) == []


def test_snapshot_that_is_no_longer_fetched_is_released():
    world, _ = busy_world(rewrite_entries=40)
    wipe(world, ["s4"])
    worlds.start(world, "s4")
    assert complete_after_ms(world, ["s4"], 3000) is not None
    assert any(node.core.snapshots.served for node in world.nodes.values())
    worlds.run(world, world.now_ms + snapshotting.IDLE_RATIO * world.bounds.detect_ms + 500)
    assert not any(node.core.snapshots.served for node in world.nodes.values())


def start_without_pausing(core, out, for_compaction):
    encoder = snapshotting.encode_snapshot(core.ledger, core.synchrony.bounds.slice_records)
    core.snapshots.taking = snapshotting.SnapshotEncoding(core.synchrony.applied, encoder, for_compaction, 0)


def is_never_reused(core):
    served = core.snapshots.served
    return served is not None and served.index == core.synchrony.applied


@pytest.mark.parametrize("slice_records", (3, 2000))
def test_new_configuration_opens_within_detection_time_while_snapshots_are_encoded(slice_records):
    world, _ = busy_world(rewrite_entries=150, slice_records=slice_records)
    while slice_records < 2000 and not all(node.core.snapshots.taking for node in world.nodes.values()):
        worlds.run(world, world.now_ms + 10)
    worlds.kill(world, "s1")
    killed_ms, gap_ms = world.now_ms, 0
    while world.now_ms < killed_ms + 2000:
        worlds.run(world, world.now_ms + 10)
        survivors = [node for node in world.nodes.values() if node.core is not None]
        if not any(serves(world, node) for node in survivors):
            gap_ms += 10
    assert all(serves(world, node) for node in survivors)
    assert gap_ms < world.bounds.detect_ms


MUTANTS = {
    "entries are applied while a snapshot is encoded": (
        "start_taking",
        start_without_pausing,
        test_member_loading_a_snapshot_in_slices_serves_only_once_it_is_complete,
    ),
    "every chunk request creates a new snapshot": (
        "is_usable",
        is_never_reused,
        lambda: test_wiped_member_catches_up_while_the_others_compact_their_logs_under_load(("s3", "s4"), 5),
    ),
    "a snapshot in progress delays the opening of a primary": (
        "abort_for_opening",
        lambda core, out: None,
        lambda: test_new_configuration_opens_within_detection_time_while_snapshots_are_encoded(3),
    ),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_mutant_is_detected(mutant, monkeypatch):
    function_name, replacement, check = MUTANTS[mutant]
    monkeypatch.setattr(snapshotting, function_name, replacement)
    with pytest.raises((AssertionError, RuntimeError)):
        check()
