"""An append-only log in one file: opened, appended to, synced, and replaced by a rewritten one.

What a sync covered outlasts a power failure. What is read when the log is opened may never have been synced, by a
process that was killed or whose sync failed: it is written once more and synced before it is believed.
"""

import os

from msgspec import Struct

from frostpost.daemon.machine import Files

from .records import Record, Scan, scan, seal, seal_mark

# Records are joined into writes of about this size, so that a large snapshot is copied once and not with all the rest.
JOIN_BYTES = 1 << 20
FILES = Files()
APPENDING = os.O_WRONLY | os.O_CREAT | os.O_APPEND


class Torn(Struct, frozen=True, tag="Torn"):
    """The file went on past the last believed record with bytes that no sync had covered; they were cut off."""

    path: str
    offset: int


class Corrupt(Struct, frozen=True, tag="Corrupt"):
    """Synced bytes were damaged; the whole file was moved aside and the log begins empty."""

    path: str
    offset: int
    moved_to: str


class SyncLostError(OSError):
    """Whether what was written will last is unknown: the process has to end and read its disk again."""


class WriteAheadLog(Struct):
    """An open log. `synced_bytes`: how much of the file is known to be synced; `checksum`: of the last record.

    `paced`: each large write is synced by itself, so that a large file holds up the syncs of others but shortly.
    """

    folder: str
    name: str
    files: Files = Files()
    fd: int = -1
    serial: int = 0
    size: int = 0
    synced_bytes: int = 0
    checksum: int = 0
    paced: bool = False

    @property
    def path(self) -> str:
        """Path of the log's file."""
        return os.path.join(self.folder, self.name)


def open_log(folder: str, name: str, files: Files = FILES) -> tuple[WriteAheadLog, list[bytes], Torn | Corrupt | None]:
    """Return the open log, the payloads read from it, and what was wrong with its file."""
    log, records, fault = open_records(folder, name, files)
    return log, [record.payload for record in records], fault


def open_records(
    folder: str, name: str, files: Files = FILES
) -> tuple[WriteAheadLog, list[Record], Torn | Corrupt | None]:
    """Like `open_`, with the records as they lie in the file."""
    files.makedirs(folder, exist_ok=True)
    log = WriteAheadLog(folder, name, files)
    data = files.read(log.path) if files.exists(log.path) else b""
    found, fault = scan(data), None
    if found.corrupt:
        fault = set_aside(log, found.end)
        data, found = b"", Scan()
    elif found.end < len(data):
        fault = Torn(log.path, found.end)
    log.fd = files.open(log.path, APPENDING, 0o644)
    sync_believed(log, data, found)
    log.serial, log.checksum = found.serial, found.checksum
    log.size = log.synced_bytes = found.end
    sync_folder(files, folder)
    return log, found.records, fault


def set_aside(log, offset):
    """Move a damaged file aside and return the error."""
    moved_to = f"{log.path}.corrupt-{offset}"
    log.files.replace(log.path, moved_to)
    return Corrupt(log.path, offset, moved_to)


def sync_believed(log, data, found):
    """Cut off what is not believed, write again what may be only in the page cache, and sync.

    After a failed sync the kernel may hold pages as clean that never reached the disk: a sync alone would skip them.
    """
    if not data:
        return
    if found.end < len(data):
        log.files.ftruncate(log.fd, found.end)
    if found.synced_bytes < found.end:
        write_again(log, data[found.synced_bytes : found.end], found.synced_bytes)
    log.files.fsync(log.fd)


def write_again(log, data, offset):
    """Write the believed bytes again, so that no page counts as clean that never reached the disk."""
    fd = log.files.open(log.path, os.O_WRONLY)
    try:
        view = memoryview(data)
        while view:
            written = log.files.pwrite(fd, view, offset)
            view, offset = view[written:], offset + written
    finally:
        log.files.close(fd)


def sync_folder(files: Files, folder: str) -> None:
    """Make the names in a folder durable."""
    fd = files.open(folder, os.O_RDONLY)
    try:
        files.fsync(fd)
    finally:
        files.close(fd)


def append(log: WriteAheadLog, payloads: list[bytes]) -> None:
    """Write records at the end of the file; a failed write leaves the log as it was."""
    parts: list[bytes] = []
    serial, checksum, size, held_bytes = log.serial, log.checksum, log.size, 0
    try:
        for payload in payloads:
            serial += 1
            header, checksum = seal(serial, payload, log.synced_bytes, checksum)
            parts += (header, payload)
            held_bytes += len(header) + len(payload)
            if held_bytes >= JOIN_BYTES:
                size += write_all(log, parts)
                parts, held_bytes = [], 0
        size += write_all(log, parts)
    except OSError:
        undo_write(log)
        raise
    log.serial, log.checksum, log.size = serial, checksum, size


def write_all(log, parts):
    """Write the parts to the end of the file; return how many bytes they are."""
    data = b"".join(parts)
    view = memoryview(data)
    while view:
        view = view[log.files.write(log.fd, view[:JOIN_BYTES]) :]
        if log.paced and view:
            log.files.fdatasync(log.fd)
    return len(data)


def undo_write(log):
    """Cut a failed write off; records after its remains would never be read again."""
    try:
        log.files.ftruncate(log.fd, log.size)
    except OSError as fault:
        raise SyncLostError(*fault.args) from fault


def sync(log: WriteAheadLog) -> None:
    """Make all that was appended durable, or raise SyncLostError."""
    try:
        log.files.fdatasync(log.fd)
    except OSError as fault:
        raise SyncLostError(*fault.args) from fault
    log.synced_bytes = log.size
    write_sync_mark(log)


def write_sync_mark(log):
    """Note behind the synced records that they are synced; the log is as good without the note."""
    data, checksum = seal_mark(log.serial, log.size, log.checksum)
    try:
        log.size += write_all(log, [data])
        log.checksum = checksum
    except OSError:
        undo_write(log)


def prepare(log: WriteAheadLog, payloads: list[bytes]) -> WriteAheadLog:
    """Write and sync a file that may replace the log; the log itself may be appended to meanwhile."""
    fresh = WriteAheadLog(log.folder, f"{log.name}.new", log.files, paced=True)
    fresh.fd = log.files.open(fresh.path, APPENDING | os.O_TRUNC, 0o644)
    try:
        extend(fresh, payloads)
    except OSError:
        close(fresh)
        raise
    return fresh


def extend(fresh, payloads):
    """Append and sync; a failure is no loss here, since nothing relies on the file yet."""
    append(fresh, payloads)
    fresh.files.fsync(fresh.fd)
    fresh.synced_bytes = fresh.size


def adopt(log: WriteAheadLog, fresh: WriteAheadLog, payloads: list[bytes]) -> None:
    """Put the prepared file in the log's place, with the payloads that were appended to the log meanwhile."""
    try:
        if payloads:
            extend(fresh, payloads)
    except OSError:
        close(fresh)
        raise
    old_fd = log.fd
    try:
        log.files.replace(fresh.path, log.path)
        log.fd, log.serial, log.checksum = fresh.fd, fresh.serial, fresh.checksum
        log.size, log.synced_bytes = fresh.size, fresh.synced_bytes
        write_sync_mark(log)
        log.files.close(old_fd)
        sync_folder(log.files, log.folder)
    except OSError as fault:
        raise SyncLostError(*fault.args) from fault


def rewrite(log: WriteAheadLog, payloads: list[bytes]) -> None:
    """Replace all that the log holds."""
    adopt(log, prepare(log, payloads), [])


def close(log: WriteAheadLog) -> None:
    """Close the log's file."""
    if log.fd >= 0:
        log.files.close(log.fd)
        log.fd = -1
