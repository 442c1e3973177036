import os

import pytest

from frostpost.furrow import disk


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


def test_failed_write_leaves_no_half_record(tmp_path, monkeypatch):
    furrow, _, _ = disk.open_(str(tmp_path), "log")
    disk.append(furrow, [b"kept"])
    real = os.write

    def full(fd, data):
        real(fd, bytes(data[:5]))
        raise OSError(28, "full")
    monkeypatch.setattr(os, "write", full)
    with pytest.raises(OSError):
        disk.append(furrow, [b"lost"])
    monkeypatch.undo()
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
