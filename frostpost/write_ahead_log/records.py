"""Record format of the write-ahead log, and the rules by which a scan accepts or rejects records after a crash.

A power failure may lose any part of what was written since the last sync, so a valid record after an invalid one is
not by itself evidence of corruption. Each record therefore stores how many bytes of the file were synced when the
record was written. An invalid record counts as corruption only if a later valid record proves that its offset had been
synced; otherwise it is the torn end of the log. After each sync, a marker without payload stores the synced length for
the records before it; the marker itself is not synced. Each record also stores the checksum of its predecessor, so that
remains of a truncated write are never read as a continuation of the log.
"""

from collections.abc import Callable
from struct import Struct as Layout
from zlib import crc32

from msgspec import Struct, structs

MAGIC = b"\xf0\x58"
SYNC_MARKER_MAGIC = b"\xf0\x5a"
HEADER = Layout(">2sIQQII")
CHECKSUM_BYTES = 4

MAGIC_V1 = b"\xf0\x57"
HEADER_V1 = Layout(">2sIQI")


class Record(Struct, frozen=True):
    """A valid record or sync marker.

    `previous_checksum` is the checksum of the preceding record. It and `synced_bytes` are None in records of format 1.
    """

    offset: int
    end: int
    serial: int
    payload: bytes
    checksum: int
    synced_bytes: int | None = None
    previous_checksum: int | None = None
    is_sync_marker: bool = False


class Scan(Struct):
    """The position at which the valid records at the start of a file end, and what they prove.

    `serial` and `checksum` are those of the last record, `synced_bytes` is the synced length that the records prove;
    `corrupt` is set if synced bytes after `end` are damaged.
    """

    end: int = 0
    serial: int = 0
    checksum: int = 0
    synced_bytes: int = 0
    corrupt: bool = False


def encode_header(
    serial: int, payload: bytes, synced_bytes: int, previous_checksum: int, magic: bytes = MAGIC
) -> tuple[bytes, int]:
    """Return the header of a record, to be followed by its payload, and the record's checksum."""
    unsummed = HEADER.pack(magic, len(payload), serial, synced_bytes, previous_checksum, 0)[:-CHECKSUM_BYTES]
    checksum = crc32(payload, crc32(unsummed))
    return unsummed + checksum.to_bytes(CHECKSUM_BYTES, "big"), checksum


def encode_sync_marker(serial: int, synced_bytes: int, previous_checksum: int) -> tuple[bytes, int]:
    """Return the bytes of a sync marker, which repeats the serial number of the record before it, and its checksum."""
    return encode_header(serial, b"", synced_bytes, previous_checksum, SYNC_MARKER_MAGIC)


def record_bytes(header: bytes) -> int:
    """Return the length of the record that begins with these bytes, which its header claims; 0 if it is none."""
    magic = header[: len(MAGIC)]
    if magic in (MAGIC, SYNC_MARKER_MAGIC) and len(header) >= HEADER.size:
        return HEADER.size + HEADER.unpack_from(header)[1]
    if magic == MAGIC_V1 and len(header) >= HEADER_V1.size:
        return HEADER_V1.size + HEADER_V1.unpack_from(header)[1]
    return 0


def read_record(data: bytes, offset: int) -> Record | None:
    """Return the valid record that starts at the offset, or None."""
    magic = data[offset : offset + len(MAGIC)]
    if magic in (MAGIC, SYNC_MARKER_MAGIC):
        return read_v2(data, offset)
    if magic == MAGIC_V1:
        return read_v1(data, offset)
    return None


def read_v2(data, offset):
    """Return the record of format 2 at the offset, or None if it is truncated or its checksum doesn't match."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, length, serial, synced_bytes, previous_checksum, checksum = HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if len(payload) < length or crc32(payload, crc32(data[offset : start - CHECKSUM_BYTES])) != checksum:
        return None
    return Record(
        offset, start + length, serial, payload, checksum, synced_bytes, previous_checksum, magic == SYNC_MARKER_MAGIC
    )


def read_v1(data, offset):
    """Return the record of format 1 at the offset, or None if it is truncated or its checksum doesn't match."""
    start = offset + HEADER_V1.size
    if start > len(data):
        return None
    _, length, serial, checksum = HEADER_V1.unpack_from(data, offset)
    payload = data[start : start + length]
    if len(payload) < length or crc32(payload, crc32(serial.to_bytes(8, "big"))) != checksum:
        return None
    return Record(offset, start + length, serial, payload, checksum)


def scan(read: Callable[[int, int], bytes], size: int, on_record: Callable[[Record], None]) -> Scan:
    """Read records up to the first offset without a valid successor of the record before it.

    `read(offset, length)` returns bytes of the file, which has this size; `on_record` gets each record in turn.
    """
    scanned = Scan()
    while scanned.end < size:
        record = read_record_at(read, size, scanned.end)
        if record is None or not follows(record, scanned.serial, scanned.checksum):
            rest = read(scanned.end, size - scanned.end)
            scanned.corrupt = was_synced(rest, scanned.end, scanned.serial)
            return scanned
        if not record.is_sync_marker:
            on_record(record)
        scanned.end, scanned.serial, scanned.checksum = record.end, record.serial, record.checksum
        scanned.synced_bytes = max(scanned.synced_bytes, record.synced_bytes or 0)
    return scanned


def read_record_at(read, size, offset):
    """Return the valid record at an offset of the file, or None; a record longer than the file isn't read."""
    length = record_bytes(read(offset, HEADER.size))
    if not length or offset + length > size:
        return None
    record = read_record(read(offset, length), 0)
    if record is None:
        return None
    return structs.replace(record, offset=offset, end=offset + record.end)


def follows(record, serial, checksum):
    """Return whether a record is the successor of the record with this serial number and checksum."""
    expected = serial if record.is_sync_marker else serial + 1
    return record.serial == expected and record.previous_checksum in (None, checksum)


def was_synced(rest, bad_offset, serial):
    """Return whether a valid record after the invalid one proves that the file was synced past `bad_offset`.

    `rest` holds the bytes of the file from that offset on. Records of format 1 don't store the synced length and always
    count as proof.
    """
    return any(
        record.serial > serial and (record.synced_bytes is None or record.synced_bytes > bad_offset)
        for magic in (MAGIC, SYNC_MARKER_MAGIC, MAGIC_V1)
        for record in find_valid_records(rest, magic, 1)
    )


def find_valid_records(data, magic, start):
    """Yield the valid records at or after `start` that begin with the given magic number."""
    offset = data.find(magic, start)
    while offset >= 0:
        record = read_record(data, offset)
        if record is not None:
            yield record
        offset = data.find(magic, offset + 1)
