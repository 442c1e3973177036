import os
from contextlib import suppress
from random import Random
from zlib import crc32

import pytest

from frostpost.daemon.machine import Files
from frostpost.simulator import drives
from frostpost.write_ahead_log import log
from frostpost.write_ahead_log.records import HEADER, HEADER_1, MAGIC_1


def filled(folder, payloads):
    write_ahead_log, _, _ = log.open_log(str(folder), "log")
    log.append(write_ahead_log, payloads)
    log.sync(write_ahead_log)
    log.close(write_ahead_log)
    return write_ahead_log.path


def test_what_was_appended_is_read_back(tmp_path):
    filled(tmp_path, [b"one", b"two", b""])
    _, payloads, fault = log.open_log(str(tmp_path), "log")
    assert payloads == [b"one", b"two", b""] and fault is None


MARK_BYTES, LAST_BYTES = HEADER.size, HEADER.size + len(b"last")


@pytest.mark.parametrize("cut", range(1, MARK_BYTES + LAST_BYTES + 1))
def test_torn_last_record_is_cut_off_and_the_rest_kept(tmp_path, cut):
    path = filled(tmp_path, [b"one", b"last"])
    os.truncate(path, os.path.getsize(path) - cut)
    write_ahead_log, payloads, fault = log.open_log(str(tmp_path), "log")
    if cut <= MARK_BYTES:
        assert payloads == [b"one", b"last"]
        log.close(write_ahead_log)
        return
    assert payloads == [b"one"]
    assert isinstance(fault, log.Torn) or cut == MARK_BYTES + LAST_BYTES and fault is None
    log.append(write_ahead_log, [b"again"])
    log.close(write_ahead_log)
    assert log.open_log(str(tmp_path), "log")[1] == [b"one", b"again"]


@pytest.mark.parametrize("at", (2, 8, 20, 24))
def test_corruption_in_the_middle_is_not_served(tmp_path, at):
    path = filled(tmp_path, [b"first", b"second", b"third"])
    with open(path, "r+b") as file:
        file.seek(at)
        byte = file.read(1)
        file.seek(at)
        file.write(bytes([byte[0] ^ 0xFF]))
    _, payloads, fault = log.open_log(str(tmp_path), "log")
    assert payloads == [] and isinstance(fault, log.Corrupt)
    assert os.path.exists(fault.moved_to)


def test_failed_write_leaves_no_half_record(tmp_path):
    calls = []

    def full(fd, data):
        if not calls:
            return os.write(fd, data)
        os.write(fd, bytes(data[:5]))
        raise OSError(28, "full")

    write_ahead_log, _, _ = log.open_log(str(tmp_path), "log", Files(write=full))
    log.append(write_ahead_log, [b"kept"])
    calls.append(True)
    with pytest.raises(OSError):
        log.append(write_ahead_log, [b"lost"])
    calls.clear()
    log.append(write_ahead_log, [b"after"])
    log.close(write_ahead_log)
    assert log.open_log(str(tmp_path), "log")[1] == [b"kept", b"after"]


def test_rewrite_replaces_all_and_goes_on(tmp_path):
    write_ahead_log, _, _ = log.open_log(str(tmp_path), "log")
    log.append(write_ahead_log, [b"x"] * 50)
    log.rewrite(write_ahead_log, [b"short"])
    log.append(write_ahead_log, [b"more"])
    log.close(write_ahead_log)
    assert log.open_log(str(tmp_path), "log")[1] == [b"short", b"more"]
    assert os.listdir(tmp_path) == ["log"]


def steps(write_ahead_log, lasting):
    for n in range(12):
        if n == 6:
            log.rewrite(write_ahead_log, [b"state", *(b"%d" % k for k in range(n + 1))])
        else:
            log.append(write_ahead_log, [b"%d" % n])
            log.sync(write_ahead_log)
        lasting.append(n)


@pytest.mark.parametrize("seed", range(40))
def test_power_lost_at_any_step_keeps_what_was_synced(seed):
    drive = drives.Drive(Random(seed))
    write_ahead_log, _, _ = log.open_log("/d", "log", drives.files_of(drive))
    drive.armed, lasting = seed, []
    with suppress(drives.PowerCutError):
        steps(write_ahead_log, lasting)
    drives.lose_power(drive, [])
    _, payloads, fault = log.open_log("/d", "log", drives.files_of(drive))
    said = [p for p in payloads if p != b"state"]
    assert not isinstance(fault, log.Corrupt)
    assert said == [b"%d" % n for n in range(len(said))]
    assert len(said) >= len(lasting)


@pytest.mark.parametrize("what", ("write", "sync", "open", "replace"))
def test_a_failing_disk_call_loses_nothing_that_was_synced(what):
    drive = drives.Drive(Random(1))
    write_ahead_log, _, _ = log.open_log("/d", "log", drives.files_of(drive))
    lasting, faults = [], 0
    for n in range(12):
        drive.broken[what] = n % 2
        try:
            steps(write_ahead_log, lasting) if n == 3 else log.append(write_ahead_log, [b"x%d" % n])
            log.rewrite(write_ahead_log, [b"y%d" % n])
        except OSError as fault:
            faults += 1
            if isinstance(fault, log.SyncLostError):
                break
    drive.broken.clear()
    assert faults
    _, payloads, fault = log.open_log("/d", "log", drives.files_of(drive))
    assert fault is None and payloads


def first_format(payloads):
    """The bytes of a log that the first format of records wrote."""
    data = b""
    for serial, payload in enumerate(payloads, 1):
        checksum = crc32(payload, crc32(serial.to_bytes(8, "big")))
        data += HEADER_1.pack(MAGIC_1, len(payload), serial, checksum) + payload
    return data


def test_a_log_of_the_first_format_is_read_and_appended_to(tmp_path):
    (tmp_path / "log").write_bytes(first_format([b"one", b"two"]))
    opened, payloads, fault = log.open_log(str(tmp_path), "log")
    assert payloads == [b"one", b"two"] and fault is None
    log.append(opened, [b"three"])
    log.sync(opened)
    log.close(opened)
    assert log.open_log(str(tmp_path), "log")[1] == [b"one", b"two", b"three"]


@pytest.mark.parametrize("at", (2, 20, 24))
def test_damage_in_a_log_of_the_first_format_is_corruption_as_it_was(tmp_path, at):
    data = bytearray(first_format([b"first", b"second", b"third"]))
    data[at] ^= 0xFF
    (tmp_path / "log").write_bytes(data)
    _, payloads, fault = log.open_log(str(tmp_path), "log")
    assert payloads == [] and isinstance(fault, log.Corrupt)


def test_damage_in_the_part_of_the_first_format_is_found_in_a_log_that_goes_on_in_the_second(tmp_path):
    (tmp_path / "log").write_bytes(first_format([b"first", b"second"]))
    filled(tmp_path, [b"third"])
    with open(tmp_path / "log", "r+b") as file:
        file.seek(20)
        file.write(b"?")
    assert isinstance(log.open_log(str(tmp_path), "log")[2], log.Corrupt)
