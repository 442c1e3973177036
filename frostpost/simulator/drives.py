"""A simulated disk: files, directory entries, and what of both survives a power cut."""

import contextlib
import errno
import os

from msgspec import Struct

from frostpost.daemon.machine import Files

# Small beside the log's batches, so that a power failure leaves holes in them.
BLOCK_BYTES = 64


class PowerCutError(Exception):
    """The power went away in the middle of a call."""


class Sheet(Struct):
    """A file's bytes and how many of them are synced."""

    data: bytearray
    synced: int = 0


class Drive(Struct):
    """A disk; names: directory entries now, lasting: those that are synced."""

    random: object
    names: dict[str, Sheet] = {}
    lasting: dict[str, Sheet] = {}
    held: dict[int, Sheet] = {}
    serial: int = 100
    delay_ms: float = 3.0
    room: int = 1 << 40
    syncs: int = 0
    armed: int = -1
    broken: dict[str, int] = {}


def touch(drive, what):
    """Raise the error that is planned for the next call of a kind, if any."""
    if drive.armed >= 0:
        if drive.armed == 0:
            raise PowerCutError()
        drive.armed -= 1
    if drive.broken.get(what, 0):
        drive.broken[what] -= 1
        raise OSError(errno.EROFS if what == "open" else errno.EIO, f"{what} failed")


def used(drive):
    """Return the bytes used."""
    return sum(len(s.data) for s in drive.names.values())


def files_of(drive):
    """Return the file operations of a simulated disk."""

    def open_(path, flags, mode=0o644):
        touch(drive, "open")
        drive.serial += 1
        if flags & os.O_CREAT:
            sheet = drive.names.setdefault(path, Sheet(bytearray()))
            if flags & os.O_TRUNC:
                sheet.data, sheet.synced = bytearray(), 0
            drive.held[drive.serial] = sheet
        else:
            drive.held[drive.serial] = drive.names.get(path)
        return drive.serial

    def write(fd, data):
        touch(drive, "write")
        left = drive.room - used(drive)
        if left <= 0:
            raise OSError(errno.ENOSPC, "full")
        part = bytes(data[:left])
        drive.held[fd].data += part
        return len(part)

    def pwrite(fd, data, offset):
        touch(drive, "write")
        sheet = drive.held[fd]
        sheet.data[offset : offset + len(data)] = data
        return len(data)

    def sync(fd):
        touch(drive, "sync")
        drive.syncs += 1
        sheet = drive.held[fd]
        if sheet is None:
            drive.lasting = dict(drive.names)
        else:
            sheet.synced = len(sheet.data)

    def truncate(fd, size):
        sheet = drive.held[fd]
        del sheet.data[size:]
        sheet.synced = min(sheet.synced, size)

    def replace(old, new):
        touch(drive, "replace")
        drive.names[new] = drive.names.pop(old)

    def read(path):
        return bytes(drive.names[path].data)

    return Files(
        open=open_,
        write=write,
        fdatasync=sync,
        fsync=sync,
        ftruncate=truncate,
        close=lambda fd: drive.held.pop(fd, None),
        replace=replace,
        exists=lambda path: path in drive.names,
        makedirs=lambda path, exist_ok: None,
        read=read,
        pwrite=pwrite,
    )


def cut_short(drive, jobs):
    """Let the jobs under way run up to a random call."""
    for call, args in jobs:
        drive.armed = drive.random.randrange(8)
        with contextlib.suppress(PowerCutError, OSError):
            call(*args)
    drive.armed = -1


def lose_power(drive, jobs):
    """Cut the power: unsynced bytes and directory entries survive at random."""
    cut_short(drive, jobs)
    names = dict(drive.lasting)
    for path, sheet in drive.names.items():
        if drive.random.random() < 0.5 or drive.lasting.get(path) is sheet:
            names[path] = sheet
    for sheet in names.values():
        kept = drive.random.randint(sheet.synced, len(sheet.data)) if len(sheet.data) > sheet.synced else sheet.synced
        del sheet.data[kept:]
        lose_blocks(drive, sheet)
        sheet.synced = len(sheet.data)
    drive.names, drive.lasting, drive.held = names, dict(names), {}


def lose_blocks(drive, sheet):
    """Some of what was not synced reads as zeros, though later parts of it last."""
    if drive.random.random() < 0.5:
        return
    for start in range(sheet.synced, len(sheet.data), BLOCK_BYTES):
        if drive.random.random() < 0.3:
            end = min(start + BLOCK_BYTES, len(sheet.data))
            sheet.data[start:end] = bytes(end - start)


def kill(drive, jobs):
    """Kill the process: all that was written survives."""
    cut_short(drive, jobs)
    drive.held = {}


def wipe(drive):
    """Empty the disk."""
    drive.names, drive.lasting, drive.held = {}, {}, {}


def rot(drive, path, random):
    """Flip bits in one byte of a file."""
    sheet = drive.names.get(path)
    if sheet is not None and len(sheet.data) > 200:
        at = random.randrange(len(sheet.data) // 2)
        sheet.data[at] ^= 0x5A
