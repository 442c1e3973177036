"""An append-only log in a single file: open, append, sync and atomic replacement.

Synced records survive a power failure. Records read from an existing file may never have been synced, because the
process that wrote them was killed or its sync failed; opening the log writes them again and syncs them before it
returns them.
"""

import os

from msgspec import Struct

from frostpost.daemon.machine import Files

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
    files.makedirs(directory, exist_ok=True)
    log = WriteAheadLog(directory, name, files)
    data = files.read(log.path) if files.exists(log.path) else b""
    scanned, damage = scan(data), None
    if scanned.corrupt:
        damage = quarantine(log, scanned.end)
        data, scanned = b"", Scan()
    elif scanned.end < len(data):
        damage = Torn(log.path, scanned.end)
    log.fd = files.open(log.path, APPEND_FLAGS, 0o644)
    sync_recovered(log, data, scanned)
    log.serial, log.checksum = scanned.serial, scanned.checksum
    log.size = log.synced_bytes = scanned.end
    sync_directory(files, directory)
    return log, scanned.records, damage


def quarantine(log, offset):
    """Rename a corrupt file, so that the log starts empty, and return the Corrupt that describes it."""
    moved_to = f"{log.path}.corrupt-{offset}"
    log.files.replace(log.path, moved_to)
    return Corrupt(log.path, offset, moved_to)


def sync_recovered(log, data, scanned):
    """Truncate the torn end of the file, write again what isn't proven to be synced, and sync.

    After a failed sync the kernel may mark pages clean that never reached the disk; a sync alone would skip those.
    """
    if not data:
        return
    if scanned.end < len(data):
        log.files.ftruncate(log.fd, scanned.end)
    if scanned.synced_bytes < scanned.end:
        write_again(log, data[scanned.synced_bytes : scanned.end], scanned.synced_bytes)
    log.files.fsync(log.fd)


def write_again(log, data, offset):
    """Overwrite part of the file with the bytes read from it, which marks its pages dirty."""
    fd = log.files.open(log.path, os.O_WRONLY)
    try:
        view = memoryview(data)
        while view:
            written = log.files.pwrite(fd, view, offset)
            view, offset = view[written:], offset + written
    finally:
        log.files.close(fd)


def sync_directory(files: Files, directory: str) -> None:
    """Make the entries of a directory durable."""
    fd = files.open(directory, os.O_RDONLY)
    try:
        files.fsync(fd)
    finally:
        files.close(fd)


def append(log: WriteAheadLog, payloads: list[bytes]) -> None:
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
    """Write the buffers to the end of the file and return their total size in bytes."""
    data = b"".join(buffers)
    view = memoryview(data)
    while view:
        view = view[log.files.write(log.fd, view[:WRITE_CHUNK_BYTES]) :]
        if log.sync_each_chunk and view:
            log.files.fdatasync(log.fd)
    return len(data)


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


def prepare_replacement(log: WriteAheadLog, payloads: list[bytes]) -> WriteAheadLog:
    """Write and sync a file that can replace the log, while records are still appended to the log."""
    replacement = WriteAheadLog(log.directory, f"{log.name}.new", log.files, sync_each_chunk=True)
    replacement.fd = log.files.open(replacement.path, APPEND_FLAGS | os.O_TRUNC, 0o644)
    try:
        append_and_sync(replacement, payloads)
    except OSError:
        close(replacement)
        raise
    return replacement


def append_and_sync(replacement, payloads):
    """Append records to a replacement file and sync it.

    Unlike in `sync`, a failed sync raises a plain OSError: no durable state depends on the file yet.
    """
    append(replacement, payloads)
    replacement.files.fsync(replacement.fd)
    replacement.synced_bytes = replacement.size


def install_replacement(log: WriteAheadLog, replacement: WriteAheadLog, payloads: list[bytes]) -> None:
    """Replace the log's file by a prepared one, after adding the payloads appended to the log in the meantime."""
    try:
        if payloads:
            append_and_sync(replacement, payloads)
    except OSError:
        close(replacement)
        raise
    old_fd = log.fd
    try:
        log.files.replace(replacement.path, log.path)
        log.fd, log.serial, log.checksum = replacement.fd, replacement.serial, replacement.checksum
        log.size, log.synced_bytes = replacement.size, replacement.synced_bytes
        write_sync_marker(log)
        log.files.close(old_fd)
        sync_directory(log.files, log.directory)
    except OSError as error:
        raise SyncLostError(*error.args) from error


def rewrite(log: WriteAheadLog, payloads: list[bytes]) -> None:
    """Replace the whole contents of the log."""
    install_replacement(log, prepare_replacement(log, payloads), [])


def close(log: WriteAheadLog) -> None:
    """Close the log's file."""
    if log.fd >= 0:
        log.files.close(log.fd)
        log.fd = -1
