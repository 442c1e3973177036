"""Every moment at which the power may fail, and the states of the disk that it may leave, up to DISK_STATES each."""

import os
from contextlib import suppress
from random import Random

import disk_model as model
import pytest

from frostpost.write_ahead_log import log as logs
from frostpost.write_ahead_log import records

STATES = int(os.environ.get("DISK_STATES", "150"))
SECOND_FAILURES = 5
FOLDER = "/data"


class History:
    """What a log may hold after a crash: a prefix of one of the contents tried, not shorter than its floor."""

    def __init__(self):
        self.tried = [((), ())]

    @property
    def held(self):
        return self.tried[-1][1]

    def lasts(self, payloads):
        self.tried = [(tuple(payloads), tuple(payloads))]

    def tries(self, payloads, floor=None):
        self.tried.append((self.tried[-1][0] if floor is None else tuple(floor), tuple(payloads)))

    def allows(self, payloads):
        read = tuple(payloads)
        return any(full[: len(read)] == read and read[: len(floor)] == floor for floor, full in self.tried)


class Process:
    """Uses one log on a disk and keeps its history."""

    def __init__(self, disk, history):
        self.disk, self.history, self.log, self.number = disk, history, None, 0
        self.filler_bytes = 5

    def open(self):
        self.log, payloads, fault = logs.open_log(FOLDER, "log", model.files_of(self.disk))
        assert not isinstance(fault, logs.Corrupt), "a crash was taken for corruption"
        assert self.history.allows(payloads), (payloads, self.history.tried)
        self.history.lasts(payloads)

    def payloads(self, many):
        self.number += 1
        return [b"%d.%d:" % (self.number, n) + b"x" * (self.filler_bytes + 9 * n) for n in range(many)]

    def append(self, many):
        payloads = self.payloads(many)
        before = self.history.held
        self.history.tries((*before, *payloads))
        try:
            logs.append(self.log, payloads)
        except OSError:
            self.history.tries(before)
            raise

    def sync(self):
        logs.sync(self.log)
        self.history.lasts(self.history.held)

    def rewrite(self):
        payloads = self.payloads(2)
        self.history.tries(payloads, payloads)
        logs.rewrite(self.log, payloads)
        self.history.lasts(payloads)

    def rewrite_beside_appends(self):
        fresh = logs.prepare(self.log, payloads := self.payloads(2))
        before = self.history.held
        self.append(2)
        self.sync()
        whole = (*payloads, *self.history.held[len(before) :])
        self.history.tries(whole, whole)
        logs.adopt(self.log, fresh, list(whole[2:]))
        self.history.lasts(whole)

    def kill(self):
        model.kill(self.disk)
        self.open()

    def fill_disk(self):
        """An append fails after its first record was written whole."""
        self.filler_bytes = 30
        used = sum(len(model.content(i)) for i in self.disk.names.values())
        self.disk.room_bytes = used + records.HEADER.size + self.filler_bytes + 10
        with pytest.raises(OSError):
            self.append(3)
        self.disk.room_bytes = 1 << 30

    def fail_sync(self):
        self.disk.failing["sync"] = 1
        with pytest.raises(logs.SyncLostError):
            self.sync()
        self.kill()


def appends(process):
    process.open()
    for many in (1, 2, 3):
        process.append(many)
        process.sync()
    process.append(2)


def kills(process):
    process.open()
    process.append(2)
    process.sync()
    process.append(2)
    process.kill()
    process.append(1)
    process.kill()
    process.append(2)
    process.sync()


def rewrites(process):
    process.open()
    process.append(2)
    process.sync()
    process.rewrite()
    process.append(1)
    process.sync()
    process.rewrite_beside_appends()
    process.append(2)


def full_disk(process):
    process.open()
    process.append(1)
    process.sync()
    process.fill_disk()
    process.append(2)
    process.sync()


def failing_syncs(process):
    process.open()
    process.append(1)
    process.sync()
    process.append(2)
    process.fail_sync()
    process.append(1)
    process.sync()


SCRIPTS = (appends, kills, rewrites, full_disk, failing_syncs)


def calls_of(script):
    disk = model.Disk()
    script(Process(disk, History()))
    return disk.calls


def cut_at(script, calls, block_bytes):
    """Run the script until the power fails before that call."""
    process = Process(model.Disk(block_bytes=block_bytes, calls_left=calls), History())
    with suppress(model.CutError):
        script(process)
    model.kill(process.disk)
    return process


def reopened(disk, history):
    """Open the log of a disk after a failure; -> the process that did, with a history of its own."""
    copy = History()
    copy.tried = list(history.tried)
    process = Process(disk, copy)
    process.open()
    return process


def check_second_failure(disk, history, random):
    """The power fails again at each call of the first start, and then for good."""
    calls_left = 0
    while True:
        copy = model.fresh(disk, {path: inode.durable for path, inode in disk.names.items()})
        copy.calls_left = calls_left
        try:
            reopened(copy, history)
            return
        except model.CutError:
            for left in model.power_failures(copy, 12, random):
                reopened(left, history)
        calls_left += 1


def check(script, states=STATES, seed=1, block_bytes=16):
    """-> how many states were looked at."""
    random, many = Random(seed), 0
    for calls in range(calls_of(script) + 1):
        cut, killed = cut_at(script, calls, block_bytes), cut_at(script, calls, block_bytes)
        killed.open()
        killed.append(2)
        for process in (cut, killed):
            for left in model.power_failures(process.disk, states, random):
                many += 1
                if many % SECOND_FAILURES == 0:
                    check_second_failure(left, process.history, random)
                reopened(left, process.history)
    return many


@pytest.mark.parametrize("block_bytes", (16, 41))
@pytest.mark.parametrize("script", SCRIPTS)
def test_what_was_synced_is_there_and_nothing_else_is_believed(script, block_bytes):
    assert check(script, block_bytes=block_bytes) > 500


def any_later_record_means_corruption(data, bad_offset, serial):
    return any(r.serial > serial for r in records.valid_records(data, records.MAGIC, bad_offset + 1))


def prepare_without_sync(log, payloads):
    fresh = logs.WriteAheadLog(log.folder, f"{log.name}.new", log.files)
    fresh.fd = log.files.open(fresh.path, logs.APPENDING | os.O_TRUNC, 0o644)
    logs.append(fresh, payloads)
    return fresh


PLANTS = {
    "a later valid record means corruption": (records, "proven_synced", any_later_record_means_corruption, kills),
    "what a start reads is not synced": (logs, "sync_believed", lambda log, data, found: None, kills),
    "what a start reads is not written again": (logs, "write_again", lambda log, data, offset: None, failing_syncs),
    "records do not continue the one before": (
        records,
        "continues",
        lambda record, serial, checksum: record.serial == serial + (not record.is_mark),
        full_disk,
    ),
    "a failed write is left in place": (logs, "undo_write", lambda log: None, full_disk),
    "a rewritten log is not synced before it takes the place": (logs, "prepare", prepare_without_sync, rewrites),
    "names are not synced": (logs, "sync_folder", lambda files, folder: None, appends),
}


@pytest.mark.parametrize("plant", PLANTS)
def test_each_planted_fault_is_found(plant, monkeypatch):
    module, name, fault, script = PLANTS[plant]
    monkeypatch.setattr(module, name, fault)
    with pytest.raises(AssertionError):
        check(script)


def reopened_after(write_unsynced):
    """Three synced records, then what `write_unsynced` does to the disk; -> what a start reads, and the fault."""
    disk = model.Disk()
    files = model.files_of(disk)
    log, _, _ = logs.open_log(FOLDER, "log", files)
    for payload in (b"one", b"two", b"three"):
        logs.append(log, [payload])
        logs.sync(log)
    lasting = len(model.content(disk.names[log.path]))
    write_unsynced(disk, log)
    inode = disk.names[log.path]
    inode.durable = model.content(inode)[:lasting].ljust(lasting + 512, b"\0") + model.content(inode)[lasting + 512 :]
    inode.pending = []
    model.kill(disk)
    _, payloads, fault = logs.open_log(FOLDER, "log", files)
    return payloads, fault


def test_a_hole_at_the_start_of_an_unsynced_batch_costs_only_that_batch():
    def batch(disk, log):
        logs.append(log, [b"lost" * 200, b"lasting"])

    payloads, fault = reopened_after(batch)
    assert payloads == [b"one", b"two", b"three"]
    assert isinstance(fault, logs.Torn)


def test_an_append_after_a_kill_does_not_hide_that_the_one_before_it_was_never_synced():
    """Of two writes neither of which was synced by its process only the second lasts."""
    synced = []

    def killed_between_append_and_sync(disk, log):
        logs.append(log, [b"believed" * 200])
        model.kill(disk)
        again, payloads, _ = logs.open_log(FOLDER, "log", log.files)
        inode = disk.names[log.path]
        synced.append(len(payloads) == 4 and not any(not c.lasting for c in inode.pending))
        logs.append(again, [b"lasting"])

    reopened_after(killed_between_append_and_sync)
    assert synced == [True]


def test_damage_below_what_was_synced_is_corruption():
    disk = model.Disk()
    process = Process(disk, History())
    appends(process)
    inode = disk.names[process.log.path]
    data = bytearray(model.content(inode))
    data[40] ^= 0x5A
    inode.durable, inode.pending = bytes(data), []
    _, payloads, fault = logs.open_log(FOLDER, "log", model.files_of(disk))
    assert payloads == [] and isinstance(fault, logs.Corrupt)
    assert disk.names[fault.moved_to] is inode
