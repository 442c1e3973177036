"""Atomic replacement of a log's file, which is prepared while records are still appended to the log."""

import os
from collections.abc import Iterable

from . import log as logs


def prepare_replacement(log: logs.WriteAheadLog, payloads: Iterable[bytes]) -> logs.WriteAheadLog:
    """Write and sync a file that can replace the log, while records are still appended to the log."""
    replacement = logs.WriteAheadLog(log.directory, f"{log.name}.new", log.files, sync_each_chunk=True)
    replacement.fd = log.files.open(replacement.path, logs.APPEND_FLAGS | os.O_TRUNC, 0o644)
    try:
        append_and_sync(replacement, payloads)
    except OSError:
        logs.close(replacement)
        raise
    return replacement


def append_and_sync(replacement, payloads):
    """Append records to a replacement file and sync it.

    Unlike in `sync`, a failed sync raises a plain OSError: no durable state depends on the file yet.
    """
    logs.append(replacement, payloads)
    replacement.files.fsync(replacement.fd)
    replacement.synced_bytes = replacement.size


def install_replacement(log: logs.WriteAheadLog, replacement: logs.WriteAheadLog, payloads: list[bytes]) -> None:
    """Replace the log's file by a prepared one, after adding the payloads appended to the log in the meantime."""
    try:
        if payloads:
            append_and_sync(replacement, payloads)
    except OSError:
        logs.close(replacement)
        raise
    old_fd = log.fd
    try:
        log.files.replace(replacement.path, log.path)
        log.fd, log.serial, log.checksum = replacement.fd, replacement.serial, replacement.checksum
        log.size, log.synced_bytes = replacement.size, replacement.synced_bytes
        logs.write_sync_marker(log)
        log.files.close(old_fd)
        logs.sync_directory(log.files, log.directory)
    except OSError as error:
        raise logs.SyncLostError(*error.args) from error


def rewrite(log: logs.WriteAheadLog, payloads: list[bytes]) -> None:
    """Replace the whole contents of the log."""
    install_replacement(log, prepare_replacement(log, payloads), [])
