import os
from random import Random

from twisted.internet.defer import Deferred, maybeDeferred

from frostpost.daemon.machine import Machine
from frostpost.simulator import drives
from frostpost.turn_store import store
from frostpost.turn_store.segments import BodyFiles

FOLDER = f"/data/{store.FOLDER_ON_DISK}"


def files_of(drive):
    base = drives.files_of(drive)
    bare = {"listdir": lambda folder: [os.path.basename(p) for p in drive.names if os.path.dirname(p) == folder]}
    return BodyFiles(
        **{field: getattr(base, field) for field in base.__struct_fields__},
        pread=lambda fd, length, offset: bytes(drive.held[fd].data[offset : offset + length]),
        unlink=lambda path: drive.names.pop(path),
        **bare,
    )


def new_drive():
    return drives.Drive(Random(7), {}, {}, {})


def lose_unsynced(drive):
    drive.names = dict(drive.lasting)
    for sheet in drive.names.values():
        del sheet.data[sheet.synced :]
    drive.held = {}


class Threads:
    def __init__(self):
        self.jobs, self.held = [], False

    def run(self, call, *args):
        if not self.held:
            return maybeDeferred(call, *args)
        self.jobs.append((Deferred(), call, args))
        return self.jobs[-1][0]

    def finish(self):
        deferred, call, args = self.jobs.pop(0)
        deferred.callback(call(*args))


def machine_of(clock, threads=None):
    return Machine(seconds=clock.seconds, in_thread=(threads or Threads()).run, token=lambda size: "0a" * size)


def opened(drive, clock, threads=None, faults=None, **bounds):
    return store.open_store(
        "/data",
        machine_of(clock, threads),
        files_of(drive),
        tell=(faults if faults is not None else []).append,
        **bounds,
    )


def outcome(deferred):
    seen = []
    deferred.addCallback(seen.append)
    return seen


def test_only_what_was_synced_outlasts_a_loss_of_power():
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
