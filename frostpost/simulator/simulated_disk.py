"""A simulated disk: files and directory entries, of which unsynced parts may be lost when power is cut."""

import contextlib
import errno
import os

from msgspec import Struct

from frostpost.daemon.machine import Files

# Smaller than the log's batches, so that a power failure can leave holes in them.
BLOCK_BYTES = 64


class PowerCutError(Exception):
    """Power was cut during a file operation."""


class SimulatedFile(Struct):
    """The content of a file and the length of its synced written."""

    data: bytearray
    synced_bytes: int = 0


class SimulatedDisk(Struct):
    """A disk; `names` holds the current directory entries, `durable_names` those that are synced.

    `calls_left` is the number of calls until power is cut, -1 for none; `failing` maps a kind of call to the number
    of next calls that fail.
    """

    random: object
    names: dict[str, SimulatedFile] = {}
    durable_names: dict[str, SimulatedFile] = {}
    handles: dict[int, SimulatedFile] = {}
    last_handle: int = 100
    delay_ms: float = 3.0
    capacity_bytes: int = 1 << 40
    sync_count: int = 0
    calls_left: int = -1
    failing: dict[str, int] = {}


def begin_call(disk, call):
    """Count a call of a kind; raise if power is to be cut now or the next call of this kind is to fail."""
    if disk.calls_left >= 0:
        if disk.calls_left == 0:
            raise PowerCutError()
        disk.calls_left -= 1
    if disk.failing.get(call, 0):
        disk.failing[call] -= 1
        raise OSError(errno.EROFS if call == "open" else errno.EIO, f"{call} failed")


def used_bytes(disk):
    """Return the total size of all files in bytes."""
    return sum(len(file.data) for file in disk.names.values())


def files_of(disk):
    """Return the file operations of a simulated disk."""

    def open_file(path, flags, mode=0o644):
        begin_call(disk, "open")
        disk.last_handle += 1
        if flags & os.O_CREAT:
            file = disk.names.setdefault(path, SimulatedFile(bytearray()))
            if flags & os.O_TRUNC:
                file.data, file.synced_bytes = bytearray(), 0
            disk.handles[disk.last_handle] = file
        else:
            disk.handles[disk.last_handle] = disk.names.get(path)
        return disk.last_handle

    def write(fd, data):
        begin_call(disk, "write")
        available_bytes = disk.capacity_bytes - used_bytes(disk)
        if available_bytes <= 0:
            raise OSError(errno.ENOSPC, "no space left on device")
        written = bytes(data[:available_bytes])
        disk.handles[fd].data += written
        return len(written)

    def pwrite(fd, data, offset):
        begin_call(disk, "write")
        file = disk.handles[fd]
        file.data[offset : offset + len(data)] = data
        return len(data)

    def sync(fd):
        begin_call(disk, "sync")
        disk.sync_count += 1
        file = disk.handles[fd]
        if file is None:
            disk.durable_names = dict(disk.names)
        else:
            file.synced_bytes = len(file.data)

    def truncate(fd, size):
        file = disk.handles[fd]
        del file.data[size:]
        file.synced_bytes = min(file.synced_bytes, size)

    def replace(old, new):
        begin_call(disk, "replace")
        disk.names[new] = disk.names.pop(old)

    def pread(fd, length, offset):
        return bytes(disk.handles[fd].data[offset : offset + length])

    return Files(
        open=open_file,
        write=write,
        fdatasync=sync,
        fsync=sync,
        ftruncate=truncate,
        close=lambda fd: disk.handles.pop(fd, None),
        replace=replace,
        exists=lambda path: path in disk.names,
        makedirs=lambda path, exist_ok: None,
        size=lambda path: len(disk.names[path].data),
        pread=pread,
        pwrite=pwrite,
    )


def run_partially(disk, jobs):
    """Run the unfinished jobs up to a random call, at which power is cut."""
    for function, args in jobs:
        disk.calls_left = disk.random.randrange(8)
        with contextlib.suppress(PowerCutError, OSError):
            function(*args)
    disk.calls_left = -1


def lose_power(disk, jobs):
    """Cut power: a random part of the unsynced bytes and directory entries survives."""
    run_partially(disk, jobs)
    names = dict(disk.durable_names)
    for path, file in disk.names.items():
        if disk.random.random() < 0.5 or disk.durable_names.get(path) is file:
            names[path] = file
    for file in names.values():
        kept_bytes = (
            disk.random.randint(file.synced_bytes, len(file.data))
            if len(file.data) > file.synced_bytes
            else file.synced_bytes
        )
        del file.data[kept_bytes:]
        zero_random_blocks(disk, file)
        file.synced_bytes = len(file.data)
    disk.names, disk.durable_names, disk.handles = names, dict(names), {}


def zero_random_blocks(disk, file):
    """Overwrite random unsynced blocks with zeros, as if later blocks had been written back first."""
    if disk.random.random() < 0.5:
        return
    for start in range(file.synced_bytes, len(file.data), BLOCK_BYTES):
        if disk.random.random() < 0.3:
            end = min(start + BLOCK_BYTES, len(file.data))
            file.data[start:end] = bytes(end - start)


def kill(disk, jobs):
    """Kill the process: everything that was written survives."""
    run_partially(disk, jobs)
    disk.handles = {}


def wipe(disk):
    """Remove all files."""
    disk.names, disk.durable_names, disk.handles = {}, {}, {}


def corrupt(disk, path, random):
    """Flip bits in one byte of the first half of a file, unless the file is short."""
    file = disk.names.get(path)
    if file is not None and len(file.data) > 200:
        offset = random.randrange(len(file.data) // 2)
        file.data[offset] ^= 0x5A
