"""Crash consistency of the log: power fails at every call, with up to DISK_STATES resulting disk states each."""

import os
from contextlib import suppress
from random import Random

import disk_model as model
import pytest

from frostpost.write_ahead_log import log as logs
from frostpost.write_ahead_log import records
from frostpost.write_ahead_log import replacement as replacements

MAX_STATES = int(os.environ.get("DISK_STATES", "150"))
SECOND_FAILURE_INTERVAL = 5
DIRECTORY = "/data"


class History:
    """The contents that a log may have after a crash.

    Each candidate is a pair of a durable prefix and full contents; any prefix of the full contents that includes the
    durable one is allowed.
    """

    def __init__(self):
        self.candidates = [((), ())]

    @property
    def written(self):
        return self.candidates[-1][1]

    def record_synced(self, payloads):
        self.candidates = [(tuple(payloads), tuple(payloads))]

    def record_written(self, payloads, durable=None):
        self.candidates.append((self.candidates[-1][0] if durable is None else tuple(durable), tuple(payloads)))

    def allows(self, payloads):
        read = tuple(payloads)
        return any(full[: len(read)] == read and read[: len(durable)] == durable for durable, full in self.candidates)


class Process:
    """A process that writes one log and records its history."""

    def __init__(self, disk, history):
        self.disk, self.history, self.log, self.number = disk, history, None, 0
        self.filler_bytes = 5

    def open(self):
        self.log, payloads, damage = logs.open_log(DIRECTORY, "log", model.files_of(self.disk))
        assert not isinstance(damage, logs.Corrupt), "torn writes were classified as corruption"
        assert self.history.allows(payloads), (payloads, self.history.candidates)
        self.history.record_synced(payloads)

    def make_payloads(self, number_of_payloads):
        self.number += 1
        return [b"%d.%d:" % (self.number, n) + b"x" * (self.filler_bytes + 9 * n) for n in range(number_of_payloads)]

    def append(self, number_of_payloads):
        payloads = self.make_payloads(number_of_payloads)
        before = self.history.written
        self.history.record_written((*before, *payloads))
        try:
            logs.append(self.log, payloads)
        except OSError:
            self.history.record_written(before)
            raise

    def sync(self):
        logs.sync(self.log)
        self.history.record_synced(self.history.written)

    def rewrite(self):
        payloads = self.make_payloads(2)
        self.history.record_written(payloads, payloads)
        replacements.rewrite(self.log, payloads)
        self.history.record_synced(payloads)

    def rewrite_during_appends(self):
        replacement = replacements.prepare_replacement(self.log, payloads := self.make_payloads(2))
        before = self.history.written
        self.append(2)
        self.sync()
        contents = (*payloads, *self.history.written[len(before) :])
        self.history.record_written(contents, contents)
        replacements.install_replacement(self.log, replacement, list(contents[2:]))
        self.history.record_synced(contents)

    def kill(self):
        model.kill(self.disk)
        self.open()

    def fill_disk(self):
        """Fail an append on a full disk, after its first record was written completely."""
        self.filler_bytes = 30
        used_bytes = sum(len(model.content(i)) for i in self.disk.names.values())
        self.disk.capacity_bytes = used_bytes + records.HEADER.size + self.filler_bytes + 10
        with pytest.raises(OSError):
            self.append(3)
        self.disk.capacity_bytes = 1 << 30

    def fail_sync(self):
        self.disk.failing["sync"] = 1
        with pytest.raises(logs.SyncLostError):
            self.sync()
        self.kill()


def appends(process):
    process.open()
    for number_of_payloads in (1, 2, 3):
        process.append(number_of_payloads)
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
    process.rewrite_during_appends()
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


def count_calls(script):
    disk = model.Disk()
    script(Process(disk, History()))
    return disk.calls


def run_until_power_failure(script, calls, block_bytes):
    """Run the script until the power fails before the given call."""
    process = Process(model.Disk(block_bytes=block_bytes, calls_left=calls), History())
    with suppress(model.PowerFailureError):
        script(process)
    model.kill(process.disk)
    return process


def reopened(disk, history):
    """Return a new process that opened the log after a failure, with a copy of the history."""
    copy = History()
    copy.candidates = list(history.candidates)
    process = Process(disk, copy)
    process.open()
    return process


def check_second_failure(disk, history, random):
    """Fail the power a second time, at each call made while the log is opened."""
    calls_left = 0
    while True:
        copy = model.restarted_disk(disk, {path: inode.durable for path, inode in disk.names.items()})
        copy.calls_left = calls_left
        try:
            reopened(copy, history)
            return
        except model.PowerFailureError:
            for remaining in model.power_failures(copy, 12, random):
                reopened(remaining, history)
        calls_left += 1


def check(script, max_states=MAX_STATES, seed=1, block_bytes=16):
    """Check the log after a power failure and after a kill at each call; return the number of disk states checked."""
    random, checked = Random(seed), 0
    for calls in range(count_calls(script) + 1):
        power_failed, killed = (
            run_until_power_failure(script, calls, block_bytes),
            run_until_power_failure(script, calls, block_bytes),
        )
        killed.open()
        killed.append(2)
        for process in (power_failed, killed):
            for remaining in model.power_failures(process.disk, max_states, random):
                checked += 1
                if checked % SECOND_FAILURE_INTERVAL == 0:
                    check_second_failure(remaining, process.history, random)
                reopened(remaining, process.history)
    return checked


@pytest.mark.parametrize("block_bytes", (16, 41))
@pytest.mark.parametrize("script", SCRIPTS)
def test_synced_records_survive_and_only_written_records_are_read(script, block_bytes):
    assert check(script, block_bytes=block_bytes) > 500


def corrupt_if_any_record_follows(rest, bad_offset, serial):
    return any(r.serial > serial for r in records.find_valid_records(rest, records.MAGIC, 1))


def prepare_without_sync(log, payloads):
    replacement = logs.WriteAheadLog(log.directory, f"{log.name}.new", log.files)
    replacement.fd = log.files.open(replacement.path, logs.APPEND_FLAGS | os.O_TRUNC, 0o644)
    logs.append(replacement, payloads)
    return replacement


MUTATIONS = {
    "any later valid record counts as proof of corruption": (
        records,
        "was_synced",
        corrupt_if_any_record_follows,
        kills,
    ),
    "recovered records are not synced": (logs, "sync_recovered", lambda log, reader, scanned: None, kills),
    "recovered records are not written again": (
        logs,
        "write_again",
        lambda log, reader, start, end: None,
        failing_syncs,
    ),
    "the checksum of the preceding record is not compared": (
        records,
        "follows",
        lambda record, serial, checksum: record.serial == serial + (not record.is_sync_marker),
        full_disk,
    ),
    "a failed write is not truncated": (logs, "truncate_failed_write", lambda log: None, full_disk),
    "a replacement file is not synced before it is installed": (
        replacements,
        "prepare_replacement",
        prepare_without_sync,
        rewrites,
    ),
    "directory entries are not synced": (logs, "sync_directory", lambda files, directory: None, appends),
}


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_each_mutation_is_detected(mutation, monkeypatch):
    module, name, mutant, script = MUTATIONS[mutation]
    monkeypatch.setattr(module, name, mutant)
    with pytest.raises(AssertionError):
        check(script)


def reopened_after(write_unsynced):
    """Write three synced records, call `write_unsynced`, lose the first unsynced block and reopen the log.

    Returns the payloads read and the damage found.
    """
    disk = model.Disk()
    files = model.files_of(disk)
    log, _, _ = logs.open_log(DIRECTORY, "log", files)
    for payload in (b"one", b"two", b"three"):
        logs.append(log, [payload])
        logs.sync(log)
    synced_bytes = len(model.content(disk.names[log.path]))
    write_unsynced(disk, log)
    inode = disk.names[log.path]
    inode.durable = (
        model.content(inode)[:synced_bytes].ljust(synced_bytes + 512, b"\0")
        + model.content(inode)[synced_bytes + 512 :]
    )
    inode.pending = []
    model.kill(disk)
    _, payloads, damage = logs.open_log(DIRECTORY, "log", files)
    return payloads, damage


def test_hole_at_start_of_unsynced_batch_loses_only_that_batch():
    def append_batch(disk, log):
        logs.append(log, [b"lost" * 200, b"lasting"])

    payloads, damage = reopened_after(append_batch)
    assert payloads == [b"one", b"two", b"three"]
    assert isinstance(damage, logs.Torn)


def test_records_recovered_after_kill_are_synced_before_next_append():
    """Of two batches that their processes never synced, only the second reaches the disk."""
    synced = []

    def append_and_kill_before_sync(disk, log):
        logs.append(log, [b"believed" * 200])
        model.kill(disk)
        reopened_log, payloads, _ = logs.open_log(DIRECTORY, "log", log.files)
        inode = disk.names[log.path]
        synced.append(len(payloads) == 4 and not any(not c.synced for c in inode.pending))
        logs.append(reopened_log, [b"lasting"])

    reopened_after(append_and_kill_before_sync)
    assert synced == [True]


def test_damage_to_synced_bytes_is_corruption():
    disk = model.Disk()
    process = Process(disk, History())
    appends(process)
    inode = disk.names[process.log.path]
    data = bytearray(model.content(inode))
    data[40] ^= 0x5A
    inode.durable, inode.pending = bytes(data), []
    _, payloads, damage = logs.open_log(DIRECTORY, "log", model.files_of(disk))
    assert payloads == [] and isinstance(damage, logs.Corrupt)
    assert disk.names[damage.moved_to] is inode
