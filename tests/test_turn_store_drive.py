"""Fixtures of the turn store's tests: a simulated disk that can lose its unsynced data, and worker threads."""

import os
from random import Random

from twisted.internet.defer import Deferred, maybeDeferred

from frostpost.daemon.machine import Machine
from frostpost.simulator import drives
from frostpost.turn_store import store
from frostpost.turn_store.segments import BodyFiles

FOLDER = f"/data/{store.FOLDER_NAME}"


def files_of(drive):
    """Return the store's file operations on a simulated drive."""
    base = drives.files_of(drive)
    directory_operations = {
        "listdir": lambda folder: [os.path.basename(p) for p in drive.names if os.path.dirname(p) == folder]
    }
    return BodyFiles(
        **{field: getattr(base, field) for field in base.__struct_fields__},
        pread=lambda fd, length, offset: bytes(drive.held[fd].data[offset : offset + length]),
        unlink=lambda path: drive.names.pop(path),
        **directory_operations,
    )


def new_drive():
    return drives.Drive(Random(7), {}, {}, {})


def lose_unsynced(drive):
    """Cut the power: keep only what was synced."""
    drive.names = dict(drive.lasting)
    for file in drive.names.values():
        del file.data[file.synced :]
    drive.held = {}


class Threads:
    """Runs jobs at once, or while paused only one by one with `finish`."""

    def __init__(self):
        self.jobs, self.is_paused = [], False

    def run(self, function, *args):
        if not self.is_paused:
            return maybeDeferred(function, *args)
        self.jobs.append((Deferred(), function, args))
        return self.jobs[-1][0]

    def finish(self):
        deferred, function, args = self.jobs.pop(0)
        deferred.callback(function(*args))


def machine_of(clock, threads=None):
    return Machine(seconds=clock.seconds, in_thread=(threads or Threads()).run, token=lambda size: "0a" * size)


def open_store(drive, clock, threads=None, errors=None, **options):
    return store.open_store(
        "/data",
        machine_of(clock, threads),
        files_of(drive),
        on_error=(errors if errors is not None else []).append,
        **options,
    )


def results_of(deferred):
    """Return a list that gets the result of a Deferred."""
    results = []
    deferred.addCallback(results.append)
    return results


def test_only_synced_data_survives_a_power_failure():
    drive = new_drive()
    files = files_of(drive)
    fd = files.open("/data/a", os.O_CREAT)
    files.write(fd, b"one")
    files.fsync(fd)
    files.write(fd, b"two")
    files.fsync(files.open("/data", os.O_RDONLY))
    files.open("/data/b", os.O_CREAT)
    lose_unsynced(drive)
    assert files.listdir("/data") == ["a"] and files.read("/data/a") == b"one"
