"""A disk that records each call of the code under test and tells every state a power failure may leave.

Data is lost or kept in blocks: a block that no sync has covered may be missing (the file is short), a hole (the file
is long enough, but the block reads as zeros or as what stood there before), torn in its middle, or there. A failed sync
makes nothing durable and leaves its blocks clean: a later sync does not cover them unless they are written again. Names
made, renamed or removed last or not, each by itself, until their folder is synced.
"""

import errno
import os
from collections.abc import Callable
from itertools import product

from msgspec import Struct

from frostpost.daemon.machine import Files

LOST, HOLE, TORN, KEPT = range(4)


class CutError(Exception):
    """The power fails at this call."""


class ModelFiles(Files, frozen=True):
    """The calls of the log and those that the turn store makes beside them."""

    pread: Callable = os.pread
    unlink: Callable = os.unlink
    listdir: Callable = os.listdir


class Change(Struct):
    """A write of one block, or a truncation (`data` is None).

    `lasting`: a sync has covered it. `clean`: a failed sync has marked it, and later syncs skip it.
    """

    offset: int
    data: bytes | None
    clean: bool = False
    lasting: bool = False


class Inode(Struct):
    """`durable`: what lasts whatever happens; `pending`: later changes in order, of which only some may be lasting."""

    durable: bytes = b""
    pending: list[Change] = []


class Renaming(Struct):
    """A name made (`old` is None), renamed, or removed (`new` is None)."""

    old: str | None
    new: str | None
    inode: Inode


class Disk(Struct):
    """`calls_left`: how many calls the power lasts, -1 for ever. `failing`: calls that fail, by name."""

    block_bytes: int = 16
    names: dict[str, Inode] = {}
    durable_names: dict[str, Inode] = {}
    pending_names: list[Renaming] = []
    handles: dict[int, tuple[str, Inode | None, bool]] = {}
    next_handle: int = 100
    calls: int = 0
    calls_left: int = -1
    failing: dict[str, int] = {}
    room_bytes: int = 1 << 30


def step(disk, call):
    if disk.calls_left == 0:
        raise CutError()
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
    """What a process reads: the page cache."""
    data = inode.durable
    for change in inode.pending:
        data = apply(data, change)
    return data


def write_blocks(disk, inode, offset, data):
    while data:
        room = disk.block_bytes - offset % disk.block_bytes
        inode.pending.append(Change(offset, bytes(data[:room])))
        offset, data = offset + room, data[room:]


def sync_inode(inode):
    for change in inode.pending:
        change.lasting = change.lasting or not change.clean
    while inode.pending and inode.pending[0].lasting:
        inode.durable = apply(inode.durable, inode.pending.pop(0))


def files_of(disk):
    """The calls that the code under test makes."""

    def open_(path, flags, mode=0o644):
        step(disk, "open")
        inode = disk.names.get(path)
        if flags & os.O_CREAT and inode is None:
            inode = disk.names[path] = Inode()
            disk.pending_names.append(Renaming(None, path, inode))
        if flags & os.O_TRUNC and inode.durable + content(inode):
            inode.pending.append(Change(0, None))
        disk.next_handle += 1
        disk.handles[disk.next_handle] = (path, inode, bool(flags & os.O_APPEND))
        return disk.next_handle

    def put(handle, offset, data):
        _, inode, appends = disk.handles[handle]
        size = len(content(inode))
        offset = size if appends else offset
        used = sum(len(content(i)) for i in disk.names.values())
        room = min(len(data), max(0, disk.room_bytes - used + size - offset))
        if not room:
            raise OSError(errno.ENOSPC, "full")
        write_blocks(disk, inode, offset, bytes(data[:room]))
        return room

    def write(handle, data):
        step(disk, "write")
        return put(handle, 0, data)

    def pwrite(handle, data, offset):
        step(disk, "write")
        return put(handle, offset, data)

    def sync(handle):
        path, inode, _ = disk.handles[handle]
        try:
            step(disk, "sync")
        except OSError:
            for change in inode.pending if inode else ():
                change.clean = not change.lasting
            raise
        if inode is not None:
            sync_inode(inode)
        else:
            sync_names(disk, path)

    def truncate(handle, size):
        step(disk, "truncate")
        inode = disk.handles[handle][1]
        if size < len(content(inode)):
            inode.pending.append(Change(size, None))

    def replace(old, new):
        step(disk, "replace")
        inode = disk.names[new] = disk.names.pop(old)
        disk.pending_names.append(Renaming(old, new, inode))

    def unlink(path):
        step(disk, "unlink")
        disk.pending_names.append(Renaming(path, None, disk.names.pop(path)))

    return ModelFiles(
        open=open_,
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
        read=lambda path: content(disk.names[path]),
        pread=lambda handle, length, offset: content(disk.handles[handle][1])[offset : offset + length],
        listdir=lambda folder: [os.path.basename(p) for p in disk.names if os.path.dirname(p) == folder],
    )


def sync_names(disk, folder):
    left = []
    for renaming in disk.pending_names:
        if os.path.dirname(renaming.new or renaming.old) == folder:
            rename(disk.durable_names, renaming)
        else:
            left.append(renaming)
    disk.pending_names = left


def rename(names, renaming):
    if renaming.old is not None:
        names.pop(renaming.old, None)
    if renaming.new is not None:
        names[renaming.new] = renaming.inode


def kill(disk):
    """The process ends; the page cache stays. Calls work again."""
    disk.handles, disk.calls_left, disk.failing, disk.room_bytes = {}, -1, {}, 1 << 30


def fates(change):
    if change.lasting:
        return (KEPT,)
    if change.data is None:
        return (LOST, KEPT)
    return (LOST, HOLE, TORN, KEPT) if len(change.data) > 1 else (LOST, HOLE, KEPT)


def survive(data, change, fate):
    if fate == LOST:
        return data
    if fate == KEPT:
        return apply(data, change)
    if fate == HOLE:
        return data.ljust(change.offset + len(change.data), b"\0")
    return apply(data, Change(change.offset, change.data[: len(change.data) // 2]))


def drawn(choices, limit, random):
    """All combinations if at most `limit`; else every stretch lost or kept, every single change, and a draw."""
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
    for at, options in enumerate(choices):
        for option in options:
            yield first[:at] + (option,) + first[at + 1 :]
            yield last[:at] + (option,) + last[at + 1 :]
    for _ in range(limit):
        yield tuple(random.choice(options) for options in choices)


def power_failures(disk, limit, random):
    """Disks that a power failure at this moment may leave."""
    inodes = {id(i): i for i in (*disk.durable_names.values(), *(r.inode for r in disk.pending_names))}
    changes = [(key, change) for key, inode in inodes.items() for change in inode.pending]
    choices = [(0, 1)] * len(disk.pending_names) + [fates(change) for _, change in changes]
    seen = set()
    for combination in drawn(choices, limit, random):
        names = dict(disk.durable_names)
        for renaming, kept in zip(disk.pending_names, combination, strict=False):
            if kept:
                rename(names, renaming)
        data = {key: inode.durable for key, inode in inodes.items()}
        for (key, change), fate in zip(changes, combination[len(disk.pending_names) :], strict=True):
            data[key] = survive(data[key], change, fate)
        left = {path: data[id(inode)] for path, inode in names.items()}
        mark = tuple(sorted(left.items()))
        if mark not in seen:
            seen.add(mark)
            yield fresh(disk, left)


def fresh(disk, left):
    inodes = {path: Inode(data) for path, data in left.items()}
    return Disk(block_bytes=disk.block_bytes, names=dict(inodes), durable_names=inodes)
