"""An append-only log in a single file: open, append and sync; see `replacement` for its atomic replacement.

Synced records survive a power failure. Records read from an existing file may never have been synced, because the
process that wrote them was killed or its sync failed; opening the log writes them again and syncs them before it
returns them.
"""

import os
from collections.abc import Callable, Iterable
from itertools import groupby

from msgspec import Struct

from frostpost.daemon.machine import Files

from .file_reader import FileReader
from .records import Record, Scan, encode_header, encode_sync_marker, scan

# Size of the writes into which records are joined; bounds the memory for copies of large payloads.
WRITE_CHUNK_BYTES = 1 << 20
FILES = Files()
APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND


class Torn(Struct, frozen=True, tag="Torn"):
    """The file ended in bytes that form no valid record and had not been synced; they were truncated."""

    path: str
    offset: int


class Corrupt(Struct, frozen=True, tag="Corrupt"):
    """Synced bytes were damaged; the file was moved aside and the log starts empty."""

    path: str
    offset: int
    moved_to: str


class SyncLostError(OSError):
    """It is unknown which of the written bytes are durable; the process has to exit and read the file again."""


class WriteAheadLog(Struct):
    """An open log.

    `synced_bytes` is how much of the file is known to be synced, `checksum` that of the last record. With
    `sync_each_chunk`, each chunk of a large write is synced separately, so that other syncs on the same disk are
    delayed only briefly.
    """

    directory: str
    name: str
    files: Files = Files()
    fd: int = -1
    serial: int = 0
    size: int = 0
    synced_bytes: int = 0
    checksum: int = 0
    sync_each_chunk: bool = False

    @property
    def path(self) -> str:
        """Path of the log's file."""
        return os.path.join(self.directory, self.name)


def open_log(
    directory: str, name: str, files: Files = FILES
) -> tuple[WriteAheadLog, list[bytes], Torn | Corrupt | None]:
    """Return the open log, the payloads of its records, and the damage found in its file, if any."""
    log, records, damage = open_records(directory, name, files)
    return log, [record.payload for record in records], damage


def open_records(
    directory: str, name: str, files: Files = FILES
) -> tuple[WriteAheadLog, list[Record], Torn | Corrupt | None]:
    """Open a log like `open_log`, but return whole records with their offsets."""
    records: list[Record] = []
    log, damage = read_log(directory, name, files, records.append)
    return log, [] if isinstance(damage, Corrupt) else records, damage


def read_log(
    directory: str, name: str, files: Files, on_record: Callable[[Record], None]
) -> tuple[WriteAheadLog, Torn | Corrupt | None]:
    """Open a log and pass its records to `on_record` one by one; return the log and the damage found in its file.

    If the file is Corrupt, the log starts empty, and the caller must discard the records that it was passed.
    """
    files.makedirs(directory, exist_ok=True)
    log, damage = WriteAheadLog(directory, name, files), None
    with FileReader(files, log.path) as reader:
        scanned = scan(reader.read, reader.size, on_record)
        if scanned.corrupt:
            damage = quarantine(log, scanned.end)
            scanned = Scan()
        elif scanned.end < reader.size:
            damage = Torn(log.path, scanned.end)
        log.fd = files.open(log.path, APPEND_FLAGS, 0o644)
        if not isinstance(damage, Corrupt):
            sync_recovered(log, reader, scanned)
    log.serial, log.checksum = scanned.serial, scanned.checksum
    log.size = log.synced_bytes = scanned.end
    sync_directory(files, directory)
    return log, damage


def quarantine(log, offset):
    """Rename a corrupt file, so that the log starts empty, and return the Corrupt that describes it."""
    moved_to = f"{log.path}.corrupt-{offset}"
    log.files.replace(log.path, moved_to)
    return Corrupt(log.path, offset, moved_to)


def sync_recovered(log, reader, scanned):
    """Truncate the torn end of the file, write again what isn't proven to be synced, and sync.

    After a failed sync the kernel may mark pages clean that never reached the disk; a sync alone would skip those.
    """
    if not reader.size:
        return
    if scanned.end < reader.size:
        log.files.ftruncate(log.fd, scanned.end)
    if scanned.synced_bytes < scanned.end:
        write_again(log, reader, scanned.synced_bytes, scanned.end)
    log.files.fsync(log.fd)


def write_again(log, reader, start, end):
    """Overwrite part of the file with the bytes read from it, which marks its pages dirty."""
    fd = log.files.open(log.path, os.O_WRONLY)
    try:
        for offset in range(start, end, WRITE_CHUNK_BYTES):
            write_at(log.files, fd, reader.read(offset, min(WRITE_CHUNK_BYTES, end - offset)), offset)
    finally:
        log.files.close(fd)


def write_at(files, fd, data, offset):
    """Write all of the data at an offset; a single write may take fewer bytes."""
    view = memoryview(data)
    while view:
        written = files.pwrite(fd, view, offset)
        view, offset = view[written:], offset + written


def sync_directory(files: Files, directory: str) -> None:
    """Make the entries of a directory durable."""
    fd = files.open(directory, os.O_RDONLY)
    try:
        files.fsync(fd)
    finally:
        files.close(fd)


def append(log: WriteAheadLog, payloads: Iterable[bytes]) -> None:
    """Write records at the end of the file, without a sync; a failed write leaves the log unchanged."""
    buffers: list[bytes] = []
    serial, checksum, size, buffered_bytes = log.serial, log.checksum, log.size, 0
    try:
        for payload in payloads:
            serial += 1
            header, checksum = encode_header(serial, payload, log.synced_bytes, checksum)
            buffers += (header, payload)
            buffered_bytes += len(header) + len(payload)
            if buffered_bytes >= WRITE_CHUNK_BYTES:
                size += write_all(log, buffers)
                buffers, buffered_bytes = [], 0
        size += write_all(log, buffers)
    except OSError:
        truncate_failed_write(log)
        raise
    log.serial, log.checksum, log.size = serial, checksum, size


def write_all(log, buffers):
    """Write the buffers to the end of the file and return their total size in bytes.

    A buffer of more than a chunk is written by itself, without being copied.
    """
    views = [memoryview(data) for data in join_small(buffers)]
    for position, view in enumerate(views):
        while view:
            view = view[log.files.write(log.fd, view[:WRITE_CHUNK_BYTES]) :]
            if log.sync_each_chunk and (view or position + 1 < len(views)):
                log.files.fdatasync(log.fd)
    return sum(len(view) for view in views)


def join_small(buffers):
    """Return the buffers with those of less than a chunk joined to their neighbours, in the same order."""
    joined: list[bytes] = []
    for large, group in groupby(buffers, lambda buffer: len(buffer) > WRITE_CHUNK_BYTES):
        neighbours = list(group)
        joined += neighbours if large else [b"".join(neighbours)]
    return joined


def truncate_failed_write(log):
    """Truncate a partial write; records appended after its remains could never be read back."""
    try:
        log.files.ftruncate(log.fd, log.size)
    except OSError as error:
        raise SyncLostError(*error.args) from error


def sync(log: WriteAheadLog) -> None:
    """Make all appended records durable, or raise SyncLostError."""
    try:
        log.files.fdatasync(log.fd)
    except OSError as error:
        raise SyncLostError(*error.args) from error
    log.synced_bytes = log.size
    write_sync_marker(log)


def write_sync_marker(log):
    """Append a marker for the records just synced; the log is valid without it, so a failed write is ignored."""
    data, checksum = encode_sync_marker(log.serial, log.size, log.checksum)
    try:
        log.size += write_all(log, [data])
        log.checksum = checksum
    except OSError:
        truncate_failed_write(log)


def close(log: WriteAheadLog) -> None:
    """Close the log's file."""
    if log.fd >= 0:
        log.files.close(log.fd)
        log.fd = -1
