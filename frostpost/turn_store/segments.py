"""Segment files of the turn store: scanned on opening, appended to by a worker thread, read by offset."""

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
    """File operations of the turn store, which needs more of them than a log."""

    unlink: Callable = os.unlink
    listdir: Callable = os.listdir


class SegmentLog(Struct):
    """The sequence of segments and the open one. After opening, only the thread of the running batch may change it."""

    folder: str
    files: BodyFiles
    segment_bytes: int
    number: int = 0
    write_ahead_log: write_ahead_logs.WriteAheadLog | None = None


class BatchResult(Struct):
    """Result of a batch: locations of the synced bodies, sizes of the segments written, and the error that ended it."""

    locations: dict[str, tuple[int, int, int]]
    segment_sizes: dict[int, int]
    error: OSError | None = None


def segment_name(number):
    """Return the file name of a segment."""
    return f"{number:08d}"


def open_segments(folder, files, segment_bytes):
    """Scan all segments; return (log, locations by turn, sizes by segment number, errors).

    The last segment stays open for appending.
    """
    log, index, segment_sizes, errors = SegmentLog(folder, files, segment_bytes), {}, {}, []
    files.makedirs(folder, exist_ok=True)
    write_ahead_logs.sync_directory(files, os.path.dirname(folder))
    for number in sorted(int(name) for name in files.listdir(folder) if name.isdigit()):
        close_segment(log)
        log.write_ahead_log, found, error = write_ahead_logs.open_records(folder, segment_name(number), files)
        log.number, segment_sizes[number] = number, log.write_ahead_log.size
        index.update(record_locations(number, found))
        if error is not None:
            errors.append(error)
    return log, index, segment_sizes, errors


def record_locations(number, found):
    """Return the location of each turn's body in a segment: (segment number, offset, length)."""
    locations = {}
    for record in found:
        with suppress(DecodeError, ValidationError):
            locations[decode(record.payload)[0]] = (number, record.offset, record.end - record.offset)
    return locations


def open_next_segment(log):
    """Close the open segment and create the next."""
    close_segment(log)
    log.write_ahead_log, _, _ = write_ahead_logs.open_log(log.folder, segment_name(log.number + 1), log.files)
    log.number += 1


def write_batch(log, batch):
    """Append and sync (turn, body) pairs, opening new segments as they fill; return a BatchResult.

    Runs in a thread; an OSError ends the batch and is returned in the result.
    """
    result, position = BatchResult({}, {}), 0
    try:
        while position < len(batch):
            if log.write_ahead_log is None or log.write_ahead_log.size >= log.segment_bytes:
                open_next_segment(log)
            payloads, locations, offset = [], {}, log.write_ahead_log.size
            while position < len(batch) and (not payloads or offset < log.segment_bytes):
                payloads.append(encode(batch[position]))
                length = records.HEADER.size + len(payloads[-1])
                locations[batch[position][0]] = (log.number, offset, length)
                offset, position = offset + length, position + 1
            write_ahead_logs.append(log.write_ahead_log, payloads)
            write_ahead_logs.sync(log.write_ahead_log)
            result.locations.update(locations)
            result.segment_sizes[log.number] = log.write_ahead_log.size
    except OSError as error:
        result.error = error
        discard_partial_write(log)
    return result


def discard_partial_write(log):
    """Truncate what a failed write left behind; close the segment if that fails too."""
    if log.write_ahead_log is not None:
        try:
            log.files.ftruncate(log.write_ahead_log.fd, log.write_ahead_log.size)
        except OSError:
            close_segment(log)


def close_segment(log):
    """Close the open segment, if any."""
    if log.write_ahead_log is not None:
        with suppress(OSError):
            write_ahead_logs.close(log.write_ahead_log)
        log.write_ahead_log = None


def read_body(log, location):
    """Return the (turn, body) stored at a location, or None if it can't be read or its checksum is wrong."""
    number, offset, length = location
    try:
        fd = log.files.open(os.path.join(log.folder, segment_name(number)), os.O_RDONLY)
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
