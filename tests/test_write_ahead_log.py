import os
from contextlib import suppress
from random import Random
from zlib import crc32

import pytest

from frostpost.daemon.machine import Files
from frostpost.simulator import simulated_disk
from frostpost.write_ahead_log import log, replacement
from frostpost.write_ahead_log.records import HEADER, HEADER_V1, MAGIC_V1


def write_log(directory, payloads):
    write_ahead_log, _, _ = log.open_log(str(directory), "log")
    log.append(write_ahead_log, payloads)
    log.sync(write_ahead_log)
    log.close(write_ahead_log)
    return write_ahead_log.path


def test_appended_records_are_read_back(tmp_path):
    write_log(tmp_path, [b"one", b"two", b""])
    _, payloads, damage = log.open_log(str(tmp_path), "log")
    assert payloads == [b"one", b"two", b""] and damage is None


MARKER_BYTES, LAST_RECORD_BYTES = HEADER.size, HEADER.size + len(b"last")


@pytest.mark.parametrize("cut_bytes", range(1, MARKER_BYTES + LAST_RECORD_BYTES + 1))
def test_torn_last_record_is_truncated(tmp_path, cut_bytes):
    path = write_log(tmp_path, [b"one", b"last"])
    os.truncate(path, os.path.getsize(path) - cut_bytes)
    write_ahead_log, payloads, damage = log.open_log(str(tmp_path), "log")
    if cut_bytes <= MARKER_BYTES:
        assert payloads == [b"one", b"last"]
        log.close(write_ahead_log)
        return
    assert payloads == [b"one"]
    assert isinstance(damage, log.Torn) or cut_bytes == MARKER_BYTES + LAST_RECORD_BYTES and damage is None
    log.append(write_ahead_log, [b"again"])
    log.close(write_ahead_log)
    assert log.open_log(str(tmp_path), "log")[1] == [b"one", b"again"]


@pytest.mark.parametrize("offset", (2, 8, 20, 24))
def test_damaged_synced_record_makes_log_corrupt(tmp_path, offset):
    path = write_log(tmp_path, [b"first", b"second", b"third"])
    with open(path, "r+b") as file:
        file.seek(offset)
        byte = file.read(1)
        file.seek(offset)
        file.write(bytes([byte[0] ^ 0xFF]))
    _, payloads, damage = log.open_log(str(tmp_path), "log")
    assert payloads == [] and isinstance(damage, log.Corrupt)
    assert os.path.exists(damage.moved_to)


def test_failed_write_leaves_no_partial_record(tmp_path):
    disk_full = []

    def write(fd, data):
        if not disk_full:
            return os.write(fd, data)
        os.write(fd, bytes(data[:5]))
        raise OSError(28, "full")

    write_ahead_log, _, _ = log.open_log(str(tmp_path), "log", Files(write=write))
    log.append(write_ahead_log, [b"kept"])
    disk_full.append(True)
    with pytest.raises(OSError):
        log.append(write_ahead_log, [b"lost"])
    disk_full.clear()
    log.append(write_ahead_log, [b"after"])
    log.close(write_ahead_log)
    assert log.open_log(str(tmp_path), "log")[1] == [b"kept", b"after"]


def test_rewrite_replaces_contents_and_later_appends_follow(tmp_path):
    write_ahead_log, _, _ = log.open_log(str(tmp_path), "log")
    log.append(write_ahead_log, [b"x"] * 50)
    replacement.rewrite(write_ahead_log, [b"short"])
    log.append(write_ahead_log, [b"more"])
    log.close(write_ahead_log)
    assert log.open_log(str(tmp_path), "log")[1] == [b"short", b"more"]
    assert os.listdir(tmp_path) == ["log"]


def append_and_rewrite(write_ahead_log, synced):
    for number in range(12):
        if number == 6:
            replacement.rewrite(write_ahead_log, [b"state", *(b"%d" % n for n in range(number + 1))])
        else:
            log.append(write_ahead_log, [b"%d" % number])
            log.sync(write_ahead_log)
        synced.append(number)


@pytest.mark.parametrize("seed", range(40))
def test_power_failure_at_any_call_keeps_synced_records(seed):
    disk = simulated_disk.SimulatedDisk(Random(seed))
    write_ahead_log, _, _ = log.open_log("/d", "log", simulated_disk.files_of(disk))
    disk.calls_left, synced = seed, []
    with suppress(simulated_disk.PowerCutError):
        append_and_rewrite(write_ahead_log, synced)
    simulated_disk.lose_power(disk, [])
    _, payloads, damage = log.open_log("/d", "log", simulated_disk.files_of(disk))
    numbers = [p for p in payloads if p != b"state"]
    assert not isinstance(damage, log.Corrupt)
    assert numbers == [b"%d" % n for n in range(len(numbers))]
    assert len(numbers) >= len(synced)


@pytest.mark.parametrize("call", ("write", "sync", "open", "replace"))
def test_failing_disk_call_loses_no_synced_record(call):
    disk = simulated_disk.SimulatedDisk(Random(1))
    write_ahead_log, _, _ = log.open_log("/d", "log", simulated_disk.files_of(disk))
    synced, errors = [], 0
    for number in range(12):
        disk.failing[call] = number % 2
        try:
            append_and_rewrite(write_ahead_log, synced) if number == 3 else log.append(
                write_ahead_log, [b"x%d" % number]
            )
            replacement.rewrite(write_ahead_log, [b"y%d" % number])
        except OSError as error:
            errors += 1
            if isinstance(error, log.SyncLostError):
                break
    disk.failing.clear()
    assert errors
    _, payloads, damage = log.open_log("/d", "log", simulated_disk.files_of(disk))
    assert damage is None and payloads


def encode_v1(payloads):
    """Return the bytes of a log in record format 1."""
    data = b""
    for serial, payload in enumerate(payloads, 1):
        checksum = crc32(payload, crc32(serial.to_bytes(8, "big")))
        data += HEADER_V1.pack(MAGIC_V1, len(payload), serial, checksum) + payload
    return data


def test_log_of_format_1_is_read_and_appended_to(tmp_path):
    (tmp_path / "log").write_bytes(encode_v1([b"one", b"two"]))
    write_ahead_log, payloads, damage = log.open_log(str(tmp_path), "log")
    assert payloads == [b"one", b"two"] and damage is None
    log.append(write_ahead_log, [b"three"])
    log.sync(write_ahead_log)
    log.close(write_ahead_log)
    assert log.open_log(str(tmp_path), "log")[1] == [b"one", b"two", b"three"]


@pytest.mark.parametrize("offset", (2, 20, 24))
def test_any_damage_before_last_record_of_format_1_is_corruption(tmp_path, offset):
    data = bytearray(encode_v1([b"first", b"second", b"third"]))
    data[offset] ^= 0xFF
    (tmp_path / "log").write_bytes(data)
    _, payloads, damage = log.open_log(str(tmp_path), "log")
    assert payloads == [] and isinstance(damage, log.Corrupt)


def test_damage_to_format_1_part_of_mixed_log_is_corruption(tmp_path):
    (tmp_path / "log").write_bytes(encode_v1([b"first", b"second"]))
    write_log(tmp_path, [b"third"])
    with open(tmp_path / "log", "r+b") as file:
        file.seek(20)
        file.write(b"?")
    assert isinstance(log.open_log(str(tmp_path), "log")[2], log.Corrupt)
