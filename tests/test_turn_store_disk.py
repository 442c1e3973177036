"""Fixtures of the turn store's tests: a simulated disk that can lose its unsynced data, and worker threads."""

import os
from random import Random

from twisted.internet.defer import Deferred, maybeDeferred

from frostpost.daemon.machine import Machine
from frostpost.simulator import simulated_disk
from frostpost.turn_store import store
from frostpost.turn_store.segments import BodyFiles

FOLDER = f"/data/{store.FOLDER_NAME}"


def files_of(disk):
    """Return the store's file operations on a simulated disk."""
    base = simulated_disk.files_of(disk)
    directory_operations = {
        "listdir": lambda folder: [os.path.basename(p) for p in disk.names if os.path.dirname(p) == folder]
    }
    return BodyFiles(
        **{field: getattr(base, field) for field in base.__struct_fields__},
        unlink=lambda path: disk.names.pop(path),
        **directory_operations,
    )


def new_disk():
    return simulated_disk.SimulatedDisk(Random(7), {}, {}, {})


def lose_unsynced(disk):
    """Cut power: keep only the synced content and directory entries."""
    disk.names = dict(disk.durable_names)
    for file in disk.names.values():
        del file.data[file.synced_bytes :]
    disk.handles = {}


class Threads:
    """Worker threads that run jobs at once or, while paused, one by one with `finish`."""

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


def open_store(disk, clock, threads=None, errors=None, **options):
    return store.open_store(
        "/data",
        machine_of(clock, threads),
        files_of(disk),
        on_error=(errors if errors is not None else []).append,
        **options,
    )


def results_of(deferred):
    """Return a list to which the result of a Deferred is appended."""
    results = []
    deferred.addCallback(results.append)
    return results


def test_only_synced_data_survives_a_power_failure():
    disk = new_disk()
    files = files_of(disk)
    fd = files.open("/data/a", os.O_CREAT)
    files.write(fd, b"one")
    files.fsync(fd)
    files.write(fd, b"two")
    files.fsync(files.open("/data", os.O_RDONLY))
    files.open("/data/b", os.O_CREAT)
    lose_unsynced(disk)
    assert files.listdir("/data") == ["a"] and files.pread(files.open("/data/a", os.O_RDONLY), 10, 0) == b"one"
