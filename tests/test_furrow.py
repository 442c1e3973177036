import os
from contextlib import suppress
from random import Random

import pytest

from frostpost.write_ahead_log import disk
from frostpost.daemon.machine import Files
from frostpost.simulator import drives


def filled(folder, payloads):
    furrow, _, _ = disk.open_(str(folder), "log")
    disk.append(furrow, payloads)
    disk.sync(furrow)
    disk.close(furrow)
    return furrow.path


def test_what_was_appended_is_read_back(tmp_path):
    filled(tmp_path, [b"one", b"two", b""])
    _, payloads, fault = disk.open_(str(tmp_path), "log")
    assert payloads == [b"one", b"two", b""] and fault is None


@pytest.mark.parametrize("cut", range(1, 23))
def test_torn_last_record_is_cut_off_and_the_rest_kept(tmp_path, cut):
    path = filled(tmp_path, [b"one", b"last"])
    os.truncate(path, os.path.getsize(path) - cut)
    furrow, payloads, fault = disk.open_(str(tmp_path), "log")
    assert payloads == [b"one"]
    assert isinstance(fault, disk.Torn) or cut == 22 and fault is None
    disk.append(furrow, [b"again"])
    disk.close(furrow)
    assert disk.open_(str(tmp_path), "log")[1] == [b"one", b"again"]


@pytest.mark.parametrize("at", (2, 8, 20, 24))
def test_corruption_in_the_middle_is_not_served(tmp_path, at):
    path = filled(tmp_path, [b"first", b"second", b"third"])
    with open(path, "r+b") as file:
        file.seek(at)
        byte = file.read(1)
        file.seek(at)
        file.write(bytes([byte[0] ^ 0xFF]))
    _, payloads, fault = disk.open_(str(tmp_path), "log")
    assert payloads == [] and isinstance(fault, disk.Corrupt)
    assert os.path.exists(fault.movedTo)


def test_failed_write_leaves_no_half_record(tmp_path):
    calls = []

    def full(fd, data):
        if not calls:
            return os.write(fd, data)
        os.write(fd, bytes(data[:5]))
        raise OSError(28, "full")

    furrow, _, _ = disk.open_(str(tmp_path), "log", Files(write=full))
    disk.append(furrow, [b"kept"])
    calls.append(True)
    with pytest.raises(OSError):
        disk.append(furrow, [b"lost"])
    calls.clear()
    disk.append(furrow, [b"after"])
    disk.close(furrow)
    assert disk.open_(str(tmp_path), "log")[1] == [b"kept", b"after"]


def test_rewrite_replaces_all_and_goes_on(tmp_path):
    furrow, _, _ = disk.open_(str(tmp_path), "log")
    disk.append(furrow, [b"x"] * 50)
    disk.rewrite(furrow, [b"short"])
    disk.append(furrow, [b"more"])
    disk.close(furrow)
    assert disk.open_(str(tmp_path), "log")[1] == [b"short", b"more"]
    assert os.listdir(tmp_path) == ["log"]


def steps(furrow, lasting):
    for n in range(12):
        if n == 6:
            disk.rewrite(furrow, [b"state", *(b"%d" % k for k in range(n + 1))])
        else:
            disk.append(furrow, [b"%d" % n])
            disk.sync(furrow)
        lasting.append(n)


@pytest.mark.parametrize("seed", range(40))
def test_power_lost_at_any_step_keeps_what_was_synced(seed):
    drive = drives.Drive(Random(seed))
    furrow, _, _ = disk.open_("/d", "log", drives.filesOf(drive))
    drive.armed, lasting = seed, []
    with suppress(drives.PowerCut):
        steps(furrow, lasting)
    drives.losePower(drive, [])
    _, payloads, fault = disk.open_("/d", "log", drives.filesOf(drive))
    said = [p for p in payloads if p != b"state"]
    assert not isinstance(fault, disk.Corrupt)
    assert said == [b"%d" % n for n in range(len(said))]
    assert len(said) >= len(lasting)


@pytest.mark.parametrize("what", ("write", "sync", "open", "replace"))
def test_a_failing_disk_call_loses_nothing_that_was_synced(what):
    drive = drives.Drive(Random(1))
    furrow, _, _ = disk.open_("/d", "log", drives.filesOf(drive))
    lasting, faults = [], 0
    for n in range(12):
        drive.broken[what] = n % 2
        try:
            steps(furrow, lasting) if n == 3 else disk.append(furrow, [b"x%d" % n])
            disk.rewrite(furrow, [b"y%d" % n])
        except OSError as fault:
            faults += 1
            if isinstance(fault, disk.SyncLost):
                break
    drive.broken.clear()
    assert faults
    _, payloads, fault = disk.open_("/d", "log", drives.filesOf(drive))
    assert fault is None and payloads
