"""A simulated disk that enumerates the states in which a power failure may leave it.

File data is lost or kept in blocks. A block that has not been synced may be missing (the file is shorter), a hole (the
file has its length, but the block reads as zeros or as its earlier contents), torn in the middle, or complete. A failed
sync makes nothing durable and marks the blocks clean: a later sync skips them unless they are written again. Directory
entries that were created, renamed or removed persist independently of each other until their directory is synced.
"""

import errno
import os
from collections.abc import Callable
from itertools import product

from msgspec import Struct

from frostpost.daemon.machine import Files

LOST, HOLE, TORN, KEPT = range(4)


class PowerFailureError(Exception):
    """The power fails at this call."""


class ModelFiles(Files, frozen=True):
    """The file operations of the log and of the turn store."""

    unlink: Callable = os.unlink
    listdir: Callable = os.listdir


class Change(Struct):
    """A write of one block, or a truncation if `data` is None.

    `synced`: covered by a successful sync. `marked_clean`: covered by a failed sync, so that later syncs skip it.
    """

    offset: int
    data: bytes | None
    marked_clean: bool = False
    synced: bool = False


class Inode(Struct):
    """The bytes that survive any power failure, and later changes in order, any of which may be lost unless synced."""

    durable: bytes = b""
    pending: list[Change] = []


class DirectoryChange(Struct):
    """A directory entry that was created (`old` is None), renamed, or removed (`new` is None)."""

    old: str | None
    new: str | None
    inode: Inode


class Disk(Struct):
    """`calls_left`: calls before the power fails, or -1. `failing`: number of next calls that fail, by kind of call."""

    block_bytes: int = 16
    names: dict[str, Inode] = {}
    durable_names: dict[str, Inode] = {}
    pending_names: list[DirectoryChange] = []
    handles: dict[int, tuple[str, Inode | None, bool]] = {}
    next_handle: int = 100
    calls: int = 0
    calls_left: int = -1
    failing: dict[str, int] = {}
    capacity_bytes: int = 1 << 30


def begin_call(disk, call):
    """Count a call, and fail it if the power or this kind of call fails now."""
    if disk.calls_left == 0:
        raise PowerFailureError()
    disk.calls_left -= disk.calls_left > 0
    disk.calls += 1
    if disk.failing.get(call, 0):
        disk.failing[call] -= 1
        raise OSError(errno.EIO, f"{call} failed")


def apply(data, change):
    if change.data is None:
        return data[: change.offset]
    data = data.ljust(change.offset, b"\0")
    return data[: change.offset] + change.data + data[change.offset + len(change.data) :]


def content(inode):
    """Return the file as a process reads it through the page cache."""
    data = inode.durable
    for change in inode.pending:
        data = apply(data, change)
    return data


def write_blocks(disk, inode, offset, data):
    while data:
        block_rest = disk.block_bytes - offset % disk.block_bytes
        inode.pending.append(Change(offset, bytes(data[:block_rest])))
        offset, data = offset + block_rest, data[block_rest:]


def sync_inode(inode):
    for change in inode.pending:
        change.synced = change.synced or not change.marked_clean
    while inode.pending and inode.pending[0].synced:
        inode.durable = apply(inode.durable, inode.pending.pop(0))


def files_of(disk):
    """Return the file operations of a simulated disk."""

    def open_file(path, flags, mode=0o644):
        begin_call(disk, "open")
        inode = disk.names.get(path)
        if flags & os.O_CREAT and inode is None:
            inode = disk.names[path] = Inode()
            disk.pending_names.append(DirectoryChange(None, path, inode))
        if flags & os.O_TRUNC and inode.durable + content(inode):
            inode.pending.append(Change(0, None))
        disk.next_handle += 1
        disk.handles[disk.next_handle] = (path, inode, bool(flags & os.O_APPEND))
        return disk.next_handle

    def write_at(handle, offset, data):
        _, inode, appends = disk.handles[handle]
        size = len(content(inode))
        offset = size if appends else offset
        used_bytes = sum(len(content(i)) for i in disk.names.values())
        writable = min(len(data), max(0, disk.capacity_bytes - used_bytes + size - offset))
        if not writable:
            raise OSError(errno.ENOSPC, "full")
        write_blocks(disk, inode, offset, bytes(data[:writable]))
        return writable

    def write(handle, data):
        begin_call(disk, "write")
        return write_at(handle, 0, data)

    def pwrite(handle, data, offset):
        begin_call(disk, "write")
        return write_at(handle, offset, data)

    def sync(handle):
        path, inode, _ = disk.handles[handle]
        try:
            begin_call(disk, "sync")
        except OSError:
            for change in inode.pending if inode else ():
                change.marked_clean = not change.synced
            raise
        if inode is not None:
            sync_inode(inode)
        else:
            sync_directory(disk, path)

    def truncate(handle, size):
        begin_call(disk, "truncate")
        inode = disk.handles[handle][1]
        if size < len(content(inode)):
            inode.pending.append(Change(size, None))

    def replace(old, new):
        begin_call(disk, "replace")
        inode = disk.names[new] = disk.names.pop(old)
        disk.pending_names.append(DirectoryChange(old, new, inode))

    def unlink(path):
        begin_call(disk, "unlink")
        disk.pending_names.append(DirectoryChange(path, None, disk.names.pop(path)))

    return ModelFiles(
        open=open_file,
        write=write,
        pwrite=pwrite,
        fdatasync=sync,
        fsync=sync,
        ftruncate=truncate,
        close=lambda handle: disk.handles.pop(handle, None),
        replace=replace,
        unlink=unlink,
        exists=lambda path: path in disk.names,
        makedirs=lambda path, exist_ok: None,
        size=lambda path: len(content(disk.names[path])),
        pread=lambda handle, length, offset: content(disk.handles[handle][1])[offset : offset + length],
        listdir=lambda directory: [os.path.basename(p) for p in disk.names if os.path.dirname(p) == directory],
    )


def sync_directory(disk, directory):
    unsynced = []
    for change in disk.pending_names:
        if os.path.dirname(change.new or change.old) == directory:
            apply_directory_change(disk.durable_names, change)
        else:
            unsynced.append(change)
    disk.pending_names = unsynced


def apply_directory_change(names, change):
    if change.old is not None:
        names.pop(change.old, None)
    if change.new is not None:
        names[change.new] = change.inode


def kill(disk):
    """End the process but keep the page cache; later calls succeed again."""
    disk.handles, disk.calls_left, disk.failing, disk.capacity_bytes = {}, -1, {}, 1 << 30


def possible_outcomes(change):
    if change.synced:
        return (KEPT,)
    if change.data is None:
        return (LOST, KEPT)
    return (LOST, HOLE, TORN, KEPT) if len(change.data) > 1 else (LOST, HOLE, KEPT)


def apply_outcome(data, change, outcome):
    if outcome == LOST:
        return data
    if outcome == KEPT:
        return apply(data, change)
    if outcome == HOLE:
        return data.ljust(change.offset + len(change.data), b"\0")
    return apply(data, Change(change.offset, change.data[: len(change.data) // 2]))


def sample_combinations(choices, limit, random):
    """Yield all combinations if there are at most `limit`.

    Otherwise yield those in which one contiguous run or one single change differs from the rest, and random ones.
    """
    total = 1
    for options in choices:
        total *= len(options)
    if total <= limit:
        yield from product(*choices)
        return
    first, last = tuple(o[0] for o in choices), tuple(o[-1] for o in choices)
    for start in range(len(choices)):
        for end in range(start, len(choices) + 1):
            yield last[:start] + first[start:end] + last[end:]
            yield first[:start] + last[start:end] + first[end:]
    for index, options in enumerate(choices):
        for option in options:
            yield first[:index] + (option,) + first[index + 1 :]
            yield last[:index] + (option,) + last[index + 1 :]
    for _ in range(limit):
        yield tuple(random.choice(options) for options in choices)


def power_failures(disk, limit, random):
    """Yield the distinct disks that a power failure at this moment may leave, each as after a restart."""
    inodes = {id(i): i for i in (*disk.durable_names.values(), *(c.inode for c in disk.pending_names))}
    changes = [(key, change) for key, inode in inodes.items() for change in inode.pending]
    choices = [(0, 1)] * len(disk.pending_names) + [possible_outcomes(change) for _, change in changes]
    seen = set()
    for combination in sample_combinations(choices, limit, random):
        names = dict(disk.durable_names)
        for directory_change, kept in zip(disk.pending_names, combination, strict=False):
            if kept:
                apply_directory_change(names, directory_change)
        data = {key: inode.durable for key, inode in inodes.items()}
        for (key, change), outcome in zip(changes, combination[len(disk.pending_names) :], strict=True):
            data[key] = apply_outcome(data[key], change, outcome)
        contents = {path: data[id(inode)] for path, inode in names.items()}
        state = tuple(sorted(contents.items()))
        if state not in seen:
            seen.add(state)
            yield restarted_disk(disk, contents)


def restarted_disk(disk, contents):
    """Return a disk of the same block size that durably holds the given files."""
    inodes = {path: Inode(data) for path, data in contents.items()}
    return Disk(block_bytes=disk.block_bytes, names=dict(inodes), durable_names=inodes)
