"""The crash points of what is built on the log: the turn store's segments, the charter, the addresses, the keeper."""

import errno
import os
from contextlib import suppress
from random import Random
from types import SimpleNamespace

import disk_model as model
import pytest

from frostpost.cluster import address_store, assembly, bootstrap_record, replica_daemon
from frostpost.cluster import first_start as first_starts
from frostpost.daemon import disk as keepers
from frostpost.daemon import log_compaction as rewritings
from frostpost.daemon import stored_log
from frostpost.daemon.context import TestHooks
from frostpost.turn_store import segments
from frostpost.virtual_synchrony.events import ProbeRecord, PromiseRecord, RewriteLog, SnapshotRecord
from frostpost.write_ahead_log import log as logs
from frostpost.write_ahead_log import replacement

STATES = int(os.environ.get("DISK_STATES", "150")) // 3
FOLDER = "/data"


class Notes:
    """What an owner of files may find after a crash."""

    def __init__(self):
        self.lasting, self.tried = {}, {}


def every_crash(script, check, seed=1):
    """Run the script until each of its calls; check each disk that the power may leave; -> how many there were."""
    random, many = Random(seed), 0
    disk = model.Disk(block_bytes=64)
    script(disk, Notes())
    for calls in range(disk.calls + 1):
        cut, notes = model.Disk(block_bytes=64, calls_left=calls), Notes()
        with suppress(model.PowerFailureError):
            script(cut, notes)
        model.kill(cut)
        for left in model.power_failures(cut, STATES, random):
            check(left, notes)
            many += 1
        check(cut, notes)
    return many


def put(log, notes, turns):
    batch = [(turn, turn.encode() * 9) for turn in turns]
    notes.tried.update(batch)
    written = segments.write_batch(log, batch)
    notes.lasting.update((turn, data) for turn, data in batch if turn in written.locations)
    return written


def fill_segments(disk, notes):
    log, _, _, _ = segments.open_segments(f"{FOLDER}/turns", model.files_of(disk), 200)
    for turns in ("a", "bc", "def", "gh"):
        put(log, notes, turns)
    disk.capacity_bytes = sum(len(model.content(i)) for i in disk.names.values()) + 90
    assert put(log, notes, "ijk").error is not None
    disk.capacity_bytes = 1 << 30
    put(log, notes, "lm")
    for turn, (number, _, _) in segments.open_segments(f"{FOLDER}/turns", log.files, 200)[1].items():
        if number == 1:
            notes.lasting.pop(turn, None)
    log.files.unlink(f"{FOLDER}/turns/{segments.segment_name(1)}")
    put(log, notes, "n")


def check_segments(disk, notes):
    log, index, _, faults = segments.open_segments(f"{FOLDER}/turns", model.files_of(disk), 200)
    assert not any(isinstance(fault, logs.Corrupt) for fault in faults)
    read = {turn: segments.read_body(log, spot) for turn, spot in index.items()}
    assert all(found == (turn, notes.tried[turn]) for turn, found in read.items())
    assert set(notes.lasting) <= set(read)


def test_bodies_that_were_synced_are_there_and_no_others_are_made_up():
    assert every_crash(fill_segments, check_segments) > 500


def make_charter(disk, notes):
    log, _, _ = logs.open_log(FOLDER, "charter", model.files_of(disk))
    notes.tried["charter"] = ("s1", "s2", "s3")
    bootstrap_record.write_record(log, ("s1", "s2", "s3"))
    notes.lasting.update(notes.tried)


def read_charter(disk):
    files = model.files_of(disk)
    agent = SimpleNamespace(
        settings=SimpleNamespace(data=FOLDER, first_start=False, seeds=()),
        machine=SimpleNamespace(files=files),
        bootstrap_voters=(),
        attachments={},
    )
    bootstrap_record.open_bootstrap(agent)
    return agent


def check_charter(disk, notes):
    agent = read_charter(disk)
    assert "founding" in agent.attachments
    assert agent.bootstrap_voters in ((), notes.tried.get("charter", ()))
    assert agent.bootstrap_voters == notes.lasting.get("charter", agent.bootstrap_voters)


def test_a_charter_that_was_told_lasts_and_half_a_charter_is_none():
    assert every_crash(make_charter, check_charter) > 30


@pytest.mark.parametrize("offset", range(0, 110, 3))
def test_a_rotten_charter_is_read_from_its_copy_or_never_made_anew(offset):
    disk = model.Disk()
    make_charter(disk, Notes())
    inode = disk.names[f"{FOLDER}/charter"]
    data = bytearray(model.content(inode))
    data[offset] ^= 0x5A
    inode.durable, inode.pending = bytes(data), []
    agent = read_charter(disk)
    assert agent.bootstrap_voters == ("s1", "s2", "s3") or "founding" not in agent.attachments


def recall_first_start(disk, seeds=(), first_start=False):
    settings = SimpleNamespace(data=FOLDER, first_start=first_start, seeds=seeds)
    return first_starts.recall_seeds(settings, SimpleNamespace(files=model.files_of(disk)))


def record_first_start(disk, notes):
    notes.tried["seeds"] = ("h:1", "h:2")
    recall_first_start(disk, notes.tried["seeds"], True)
    notes.lasting.update(notes.tried)


def check_first_start(disk, notes):
    assert recall_first_start(disk) in ((), notes.tried.get("seeds", ()))
    assert recall_first_start(disk) == notes.lasting.get("seeds", recall_first_start(disk))


def test_a_first_start_that_was_recorded_is_remembered_after_any_crash():
    assert every_crash(record_first_start, check_first_start) > 10


def keep_addresses(disk, notes):
    machine = SimpleNamespace(files=model.files_of(disk))
    held = address_store.open_address_store(FOLDER, machine)
    for addresses in (["h:1"], ["h:1", "h:2"], ["h:2", "h:3"]):
        notes.tried[len(notes.tried)] = tuple(addresses)
        replacement.rewrite(held.write_ahead_log, [address_store.msgpack.encode(addresses)])
        notes.lasting = {"addresses": tuple(addresses)}


def check_addresses(disk, notes):
    held = address_store.open_address_store(FOLDER, SimpleNamespace(files=model.files_of(disk)))
    after = list(notes.tried.values())
    lasting = notes.lasting.get("addresses", ())
    assert held.addresses in after[after.index(lasting) if lasting else 0 :] + ([] if lasting else [()])


def test_addresses_are_the_last_that_were_kept_or_later_ones():
    assert every_crash(keep_addresses, check_addresses) > 100


class Threads:
    """Jobs of the disk's threads, run when told, in any order."""

    def __init__(self):
        self.jobs = []

    def run(self, call, *args):
        from twisted.internet.defer import Deferred

        self.jobs.append((Deferred(), call, args))
        return self.jobs[-1][0]

    def finish(self, at=0):
        deferred, call, args = self.jobs.pop(at)
        try:
            result = call(*args)
        except OSError:
            deferred.errback()
        else:
            deferred.callback(result)


class House:
    """A keeper with its clock, threads and the numbers that it has told as synced."""

    def __init__(self, disk):
        from frostpost.daemon.machine import Machine
        from frostpost.virtual_synchrony.bounds import Bounds

        self.threads, self.synced, self.stalled, self.crashed, self.now_s = Threads(), 0, [], [], 0.0
        machine = Machine(seconds=lambda: self.now_s, in_thread=self.threads.run, files=model.files_of(disk))
        core = SimpleNamespace(synchrony=SimpleNamespace(bounds=Bounds()), snapshots=SimpleNamespace(busy=False))
        self.ctx = SimpleNamespace(machine=machine, hooks=TestHooks(), core=core, counts={}, stepping=True, inputs=self)
        self.ctx.lifecycle = SimpleNamespace(crash=lambda: self.crashed.append(True))
        self.records = []
        log, self.fault = stored_log.read_records(FOLDER, machine.files, self.records.append)
        self.keeper = keepers.LogWriter(self.ctx, log)

    def append(self, input):
        """What the keeper feeds to the core."""
        if hasattr(input, "up_to"):
            self.synced = input.up_to
        else:
            self.stalled.append(input.unhealthy)


def rewritten(index, records):
    return RewriteLog((PromiseRecord(1, 1), SnapshotRecord(index, b"s" * 40), *records))


def keep(disk, notes):
    house = House(disk)
    notes.tried["all"], numbers = [], []

    def write(*writes):
        for record in writes:
            held = notes.tried["all"]
            if isinstance(record, RewriteLog):
                held.append(list(record.records))
            else:
                held.append([*(held[-1] if held else []), record])
        house.keeper.write(list(writes))

    def finish(at=0):
        house.threads.finish(at)
        numbers.append(house.synced)
        notes.lasting["synced"] = house.synced

    write(PromiseRecord(1, 1), ProbeRecord(1))
    finish()
    write(ProbeRecord(2))
    write(rewritten(2, [ProbeRecord(12)]), ProbeRecord(3))
    finish()
    write(ProbeRecord(4))
    while house.threads.jobs:
        finish(len(house.threads.jobs) - 1)
    write(rewritten(5, []), ProbeRecord(5))
    write(rewritten(6, [ProbeRecord(16)]), ProbeRecord(6))
    while house.threads.jobs:
        finish()
    write(ProbeRecord(7))
    finish()
    assert house.synced == len(notes.tried["all"]) and not house.stalled and not house.crashed


def check_kept(disk, notes):
    """The records read mean the same as those after some write that is not before the last one told as synced."""
    house = House(disk)
    assert not isinstance(house.fault, logs.Corrupt)
    states = [[], *notes.tried.get("all", [])][notes.lasting.get("synced", 0) :]
    assert any(meaning(house.records) == meaning(state) for state in states), (house.records, states)


def meaning(records):
    """A rewritten log stands for the one that it replaced: both end with the same probe or snapshot."""
    numbers = [r.number % 10 for r in records if isinstance(r, ProbeRecord)]
    snapshots = [r.index for r in records if isinstance(r, SnapshotRecord)]
    return max([0, *numbers, *snapshots])


def test_what_the_keeper_told_as_synced_lasts_also_when_the_log_is_rewritten_beside_it():
    assert every_crash(keep, check_kept) > 300


def told(disk, **failing):
    house = House(disk)
    house.keeper.write([PromiseRecord(1, 1)])
    house.threads.finish()
    disk.failing.update(failing)
    return house


def test_a_full_disk_is_told_and_nothing_is_taken_for_synced_until_there_is_room():
    disk = model.Disk()
    house = told(disk)
    disk.capacity_bytes = 0
    house.keeper.write([ProbeRecord(1), ProbeRecord(2)])
    house.threads.finish()
    assert house.stalled == [True] and house.synced == 1 and not house.crashed
    assert house.ctx.counts["disk_faults"] == 1
    disk.capacity_bytes = 1 << 30
    for _ in range(3):
        house.keeper.check_health()
        house.threads.finish()
    assert house.stalled == [True, False] and house.synced == 3
    model.kill(disk)
    assert [r.number for r in House(disk).records[1:3]] == [1, 2]


def test_a_disk_that_stalls_is_told_while_it_stalls_and_well_again_after_good_syncs():
    disk = model.Disk()
    house = told(disk)
    house.keeper.write([ProbeRecord(1)])
    house.now_s = 0.51
    house.keeper.check_health()
    assert house.stalled == [True] and house.synced == 1
    house.threads.finish()
    assert house.synced == 2
    for _ in range(3):
        house.keeper.check_health()
        house.threads.finish()
    assert house.stalled == [True, False]


def test_a_sync_that_fails_ends_the_process_and_nothing_is_told_as_synced():
    disk = model.Disk()
    house = told(disk, sync=1)
    house.keeper.write([ProbeRecord(1)])
    house.threads.finish()
    assert house.crashed and house.synced == 1


def test_a_rewrite_that_fails_is_tried_again_and_appends_go_on():
    disk = model.Disk()
    house = told(disk)
    house.keeper.write([rewritten(1, [])])
    disk.failing["open"] = 1
    house.threads.finish()
    house.keeper.write([ProbeRecord(2)])
    house.threads.finish()
    assert not house.stalled and house.synced == 3
    house.now_s = rewritings.RETRY_RATIO * 0.5
    house.keeper.check_health()
    while house.threads.jobs:
        house.threads.finish()
    model.kill(disk)
    assert [type(r) for r in House(disk).records] == [PromiseRecord, SnapshotRecord, ProbeRecord]


def test_appends_are_synced_while_a_rewritten_log_is_being_written():
    house = told(model.Disk())
    house.keeper.write([rewritten(1, [])])
    assert len(house.threads.jobs) == 1
    house.keeper.write([ProbeRecord(2)])
    house.threads.finish(1)
    assert house.synced == 3 and len(house.threads.jobs) == 1


def test_a_file_that_can_not_take_the_place_of_the_log_makes_no_disk_unwell():
    disk = model.Disk()
    house = told(disk)
    house.keeper.write([rewritten(1, []), ProbeRecord(2)])
    house.threads.finish(1)
    house.threads.finish()
    house.keeper.write([ProbeRecord(3)])
    disk.failing["write"] = 1
    while house.threads.jobs:
        house.threads.finish()
    assert house.synced == 4 and not house.stalled
    model.kill(disk)
    assert [r.number for r in House(disk).records if isinstance(r, ProbeRecord)] == [2, 3]


def test_a_disk_that_relapses_has_to_be_good_for_longer():
    disk = model.Disk()
    house, needed = told(disk), []
    for _ in range(4):
        house.keeper.write([ProbeRecord(1)])
        house.now_s += 0.6
        house.keeper.check_health()
        house.threads.finish()
        needed.append(0)
        while house.keeper.unhealthy:
            house.keeper.check_health()
            house.threads.finish()
            needed[-1] += 1
    assert needed == [3, 6, 12, 12]


def test_a_start_on_a_disk_that_can_not_be_written_is_told_and_ends(monkeypatch):
    told = []

    def assemble(settings, reactor, machine, stop):
        raise OSError(errno.ENOSPC, "full", "/data/log")

    monkeypatch.setattr(replica_daemon, "assemble", assemble)
    monkeypatch.setattr(assembly, "log_event", lambda kind, **facts: told.append((kind, facts["error"], facts["path"])))
    assert assembly.run_daemon(SimpleNamespace(role="storage"), None) == os.EX_IOERR
    assert told == [("DiskError", "ENOSPC", "/data/log")]
