"""The log's size on disk and in memory, and the memory that a start takes, follow the state and not its history."""

import os
import tracemalloc

import pytest

from frostpost.daemon import snapshotting, stored_log
from frostpost.daemon.disk import encode
from frostpost.daemon.machine import Files
from frostpost.ledger.apply import encode as encode_state
from frostpost.ledger.operations import SetConfig
from frostpost.simulator import world as worlds
from frostpost.simulator.ledger_checks import find_ledger_violations
from frostpost.simulator.play import all_nodes_serve, play
from frostpost.simulator.storm import submit
from frostpost.virtual_synchrony.batching import entry_bytes
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import ConfigurationRecord, EntryRecord, SnapshotRecord
from frostpost.write_ahead_log import file_reader
from frostpost.write_ahead_log import log as logs

DOCUMENT_BYTES, CHANGES = 200_000, 120
# Longer than taking a snapshot of the state and the rest after it, and shorter.
CHANGE_INTERVAL_MS, SHORT_INTERVAL_MS = 1000, 60
BOUNDS = Bounds(rewrite_bytes=1 << 20)


def changed_world(documents=1, bounds=BOUNDS, interval_ms=CHANGE_INTERVAL_MS):
    """A world in which documents are changed in turn; yields it after each change."""
    world = worlds.create_world(1, 0, 3, 0, bounds)
    worlds.run(world, 1500)
    assert all_nodes_serve(world)
    for number in range(CHANGES):
        path = f"templates/t{number % documents}"
        current = world.nodes["s1"].core.ledger.configs.get(path)
        digest = f"{number:08d}" * (DOCUMENT_BYTES // 8)
        submit(world, "s1", SetConfig(path, digest, 1, current.version if current else 0, "me", 1, ()))
        worlds.run(world, world.now_ms + interval_ms)
        yield world


def stored_bytes(node):
    return sum(len(encode(record)) for record in node.disk.synced_records)


@pytest.mark.parametrize("documents", (1, 20))
def test_log_is_bounded_by_the_state_and_a_constant_whatever_the_number_of_changes(documents):
    """Guards against review/3: a log that was compacted by the number of its entries, however large they were."""
    world = check_size_after_each_change(changed_world(documents))
    assert all(node.core.synchrony.counts["rewrites"] >= 3 for node in world.nodes.values())
    assert find_ledger_violations(world, 0) == []


def check_size_after_each_change(changed):
    most_entries_bytes = snapshotting.MAX_REWRITE_RATIO * BOUNDS.rewrite_bytes + 4 * DOCUMENT_BYTES
    for world in changed:
        for node in world.nodes.values():
            assert node.core.synchrony.log.entries_bytes <= most_entries_bytes
            assert stored_bytes(node) <= len(encode_state(node.core.ledger)) + most_entries_bytes
    return world


def test_log_is_bounded_also_if_changes_come_faster_than_snapshots_are_taken():
    check_size_after_each_change(changed_world(20, interval_ms=SHORT_INTERVAL_MS))


def test_state_is_whole_after_a_loss_of_power_right_after_a_compaction():
    rewrites, losses = 0, 0
    for world in changed_world(3):
        newest = {path: mark.version for path, mark in world.nodes["s1"].core.ledger.configs.items()}
        count = world.nodes["s1"].core.synchrony.counts.get("rewrites", 0)
        if count <= rewrites or losses == 6:
            continue
        losses, rewrites = losses + 1, 0
        for name in world.nodes:
            worlds.kill(world, name, True)
        for name in world.nodes:
            worlds.start(world, name)
        worlds.run(world, world.now_ms + 3000)
        assert all_nodes_serve(world)
        for node in world.nodes.values():
            assert {path: mark.version for path, mark in node.core.ledger.configs.items()} == newest
    assert losses == 6 and find_ledger_violations(world, 0) == []


def test_state_below_the_bound_is_rewritten_at_most_once_for_its_size_in_changes():
    *_, world = changed_world(1, Bounds(rewrite_bytes=8 << 20))
    for node in world.nodes.values():
        state_bytes = len(encode_state(node.core.ledger))
        assert node.core.synchrony.counts["rewrites"] * state_bytes <= CHANGES * DOCUMENT_BYTES


def test_sizes_of_the_log_are_those_of_its_entries_after_every_kind_of_change():
    for number, world in enumerate(changed_world(2)):
        if number % 40 == 10:
            worlds.kill(world, "s3", True)
        if number % 40 == 25:
            if number > 40:
                world.nodes["s3"].disk.synced_records = []
            worlds.start(world, "s3")
        for node in world.nodes.values():
            if node.core is not None:
                log = node.core.synchrony.log
                assert log.entries_bytes == sum(entry_bytes(entry) for entry in log.entries)


def test_compaction_by_number_alone_is_detected(monkeypatch):
    def is_large_by_number(synchrony):
        return synchrony.applied - synchrony.log.snapshot_index >= synchrony.bounds.rewrite_entries

    monkeypatch.setattr(snapshotting, "is_log_large", is_large_by_number)
    with pytest.raises(AssertionError):
        test_log_is_bounded_by_the_state_and_a_constant_whatever_the_number_of_changes(1)


def write_history(directory, entries, payload_bytes, state_bytes=0):
    """Write a log of entries after a snapshot; return their total size."""
    id = ConfigurationId(4, "s1", 1)
    records = [SnapshotRecord(0, b"s" * state_bytes), ConfigurationRecord(id, 0, ("s1",))]
    log, _, _ = logs.open_log(str(directory), "log")
    logs.append(log, [encode(record) for record in records])
    for index in range(1, entries + 1):
        entry = Entry(id, index, index, Member("s1", 1), index, b"%08d" % index * (payload_bytes // 8))
        logs.append(log, [encode(EntryRecord(entry, index))])
    logs.sync(log)
    logs.close(log)
    return os.path.getsize(log.path)


def peak_of_opening(directory):
    tracemalloc.start()
    try:
        opened = stored_log.open_log(str(directory), Files())
        return opened, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("entries, payload_bytes", ((40, 800_000), (4000, 8000), (8, 3_000_000)))
def test_start_takes_the_memory_of_the_log_once(tmp_path, entries, payload_bytes):
    """Guards against review/3: a start read the whole file and copied each record, twice the file in all."""
    file_bytes = write_history(tmp_path, entries, payload_bytes)
    (_, log, damage), peak_bytes = peak_of_opening(tmp_path)
    assert damage is None and log.length == entries and log.entries[-1].payload[:8] == b"%08d" % entries
    assert peak_bytes <= file_bytes + 4 * max(payload_bytes, file_reader.READ_CHUNK_BYTES)


def test_entries_before_a_snapshot_take_no_memory(tmp_path):
    write_history(tmp_path, 40, 800_000)
    log, _, _ = logs.open_log(str(tmp_path), "log")
    logs.append(log, [encode(SnapshotRecord(40, b"state"))])
    logs.sync(log)
    logs.close(log)
    (_, opened, damage), peak_bytes = peak_of_opening(tmp_path)
    assert damage is None and (opened.snapshot, opened.snapshot_index, opened.entries_bytes) == (b"state", 40, 0)
    assert peak_bytes > 40 * 800_000  # The entries stand in the file before the snapshot and are read first.


@pytest.mark.parametrize("chunk_bytes", (64, 100, 1 << 20))
def test_records_of_all_sizes_are_read_at_any_size_of_chunk(tmp_path, monkeypatch, chunk_bytes):
    payloads = [b"x" * size for size in (0, 1, 33, 34, 64, 99, 100, 101, 300, 5, 0, 1000)]
    log, _, _ = logs.open_log(str(tmp_path), "log")
    logs.append(log, payloads)
    logs.sync(log)
    logs.append(log, [b"unsynced" * 40])
    logs.close(log)
    monkeypatch.setattr(file_reader, "READ_CHUNK_BYTES", chunk_bytes)
    monkeypatch.setattr(logs, "WRITE_CHUNK_BYTES", chunk_bytes)
    log, found, damage = logs.open_log(str(tmp_path), "log")
    assert damage is None and found == [*payloads, b"unsynced" * 40]
    logs.append(log, [b"large" * 100, b"s", b"large" * 50, b""])
    logs.close(log)
    assert logs.open_log(str(tmp_path), "log")[1][-4:] == [b"large" * 100, b"s", b"large" * 50, b""]


def test_record_that_claims_more_than_the_file_holds_is_not_read(tmp_path):
    log, _, _ = logs.open_log(str(tmp_path), "log")
    logs.append(log, [b"one", b"two"])
    logs.close(log)
    with open(log.path, "r+b") as file:
        second = logs.open_records(str(tmp_path), "log")[1][1].offset
        file.seek(second + 2)
        file.write((1 << 31).to_bytes(4, "big"))
    (_, found, damage), peak_bytes = read_with_peak(tmp_path)
    assert found == [b"one"] and isinstance(damage, logs.Torn)
    assert peak_bytes < 4 * file_reader.READ_CHUNK_BYTES


def read_with_peak(directory):
    tracemalloc.start()
    try:
        opened = logs.open_log(str(directory), "log")
        return opened, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


STORM_BOUNDS = Bounds(
    rewrite_bytes=8000, batch_bytes=600, unsafe_bytes=2400, window_bytes=9600, rewrite_entries=20000, piece_bytes=400
)
# The constants beside the state: entries since the snapshot, unsafe ones and the outbox.
STORM_MEMORY_BYTES = (
    snapshotting.MAX_REWRITE_RATIO * STORM_BOUNDS.rewrite_bytes + STORM_BOUNDS.unsafe_bytes + STORM_BOUNDS.window_bytes
)


@pytest.mark.parametrize("seed", range(1, 7))
def test_replicas_stay_within_their_memory_under_random_faults(seed):
    _, report = play(seed, gap_ms=1200, bounds=STORM_BOUNDS, memory_bytes=STORM_MEMORY_BYTES)
    assert report.broken == [] and report.decided > 100


def test_storm_finds_a_compaction_by_number_alone(monkeypatch):
    monkeypatch.setattr(
        snapshotting, "is_log_large", lambda s: s.applied - s.log.snapshot_index >= s.bounds.rewrite_entries
    )
    _, report = play(1, gap_ms=1200, bounds=STORM_BOUNDS, memory_bytes=STORM_MEMORY_BYTES)
    assert {violation.spec for violation in report.broken} == {"memory"}
