"""Segment files of the turn_store: scanned when opened, written in a thread, read at an offset."""

import os
from collections.abc import Callable
from contextlib import suppress

from msgspec import DecodeError, Struct, ValidationError, msgpack

from frostpost.daemon.machine import Files
from frostpost.write_ahead_log import log as write_ahead_logs
from frostpost.write_ahead_log import records

encode = msgpack.Encoder().encode
decode = msgpack.Decoder(tuple[str, bytes]).decode


class BodyFiles(Files, frozen=True):
    """File operations that segments need beside those of a log."""

    pread: Callable = os.pread
    unlink: Callable = os.unlink
    listdir: Callable = os.listdir


class SegmentLog(Struct):
    """The open segment; once opened, touched only by the one batch under way."""

    folder: str
    files: BodyFiles
    segment_bytes: int
    number: int = 0
    write_ahead_log: write_ahead_logs.WriteAheadLog | None = None


class Written(Struct):
    """What of a batch is synced, the sizes of the segments touched, and what stopped the rest."""

    spots: dict[str, tuple[int, int, int]]
    sizes: dict[int, int]
    fault: OSError | None = None


def name_of(number):
    """Return the file name of a segment."""
    return f"{number:08d}"


def open_segments(folder, files, segment_bytes):
    """-> log, index, sizes by segment number, faults; the last segment is the open one."""
    log, index, sizes, faults = SegmentLog(folder, files, segment_bytes), {}, {}, []
    files.makedirs(folder, exist_ok=True)
    write_ahead_logs.sync_directory(files, os.path.dirname(folder))
    for number in sorted(int(name) for name in files.listdir(folder) if name.isdigit()):
        close_log(log)
        log.write_ahead_log, found, fault = write_ahead_logs.open_records(folder, name_of(number), files)
        log.number, sizes[number] = number, log.write_ahead_log.size
        index.update(locations_of(number, found))
        if fault is not None:
            faults.append(fault)
    return log, index, sizes, faults


def locations_of(number, found):
    """Return where each turn's body lies in a segment: (segment, offset, length)."""
    spots = {}
    for record in found:
        with suppress(DecodeError, ValidationError):
            spots[decode(record.payload)[0]] = (number, record.offset, record.end - record.offset)
    return spots


def roll(log):
    """Close the open segment and open the next."""
    close_log(log)
    log.write_ahead_log, _, _ = write_ahead_logs.open_log(log.folder, name_of(log.number + 1), log.files)
    log.number += 1


def write_batch(log, batch):
    """Appends and syncs (turn, data) pairs; runs in a thread and never raises an OSError."""
    written, at = Written({}, {}), 0
    try:
        while at < len(batch):
            if log.write_ahead_log is None or log.write_ahead_log.size >= log.segment_bytes:
                roll(log)
            chunk, spots, offset = [], {}, log.write_ahead_log.size
            while at < len(batch) and (not chunk or offset < log.segment_bytes):
                chunk.append(encode(batch[at]))
                length = records.HEADER.size + len(chunk[-1])
                spots[batch[at][0]] = (log.number, offset, length)
                offset, at = offset + length, at + 1
            write_ahead_logs.append(log.write_ahead_log, chunk)
            write_ahead_logs.sync(log.write_ahead_log)
            written.spots.update(spots)
            written.sizes[log.number] = log.write_ahead_log.size
    except OSError as fault:
        written.fault = fault
        recover_segment(log)
    return written


def recover_segment(log):
    """Cut off what a failed write left behind, or close the segment."""
    if log.write_ahead_log is not None:
        try:
            log.files.ftruncate(log.write_ahead_log.fd, log.write_ahead_log.size)
        except OSError:
            close_log(log)


def close_log(log):
    """Close the open segment."""
    if log.write_ahead_log is not None:
        with suppress(OSError):
            write_ahead_logs.close(log.write_ahead_log)
        log.write_ahead_log = None


def read_body(log, spot):
    """(turn, data) of a record, or None where its checksum is wrong or it can't be read."""
    number, offset, length = spot
    try:
        fd = log.files.open(os.path.join(log.folder, name_of(number)), os.O_RDONLY)
        try:
            raw = log.files.pread(fd, length, offset)
        finally:
            log.files.close(fd)
    except OSError:
        return None
    found = records.read_record(raw, 0)
    if found is None or found.end != length:
        return None
    try:
        return decode(found.payload)
    except (DecodeError, ValidationError):
        return None
