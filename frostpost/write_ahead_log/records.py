"""Record format of the write-ahead log, and the rules by which a scan accepts or rejects records after a crash.

A power failure may lose any part of what was written since the last sync, so a valid record after an invalid one is
not by itself evidence of corruption. Each record therefore stores how many bytes of the file were synced when the
record was written. An invalid record counts as corruption only if a later valid record proves that its offset had been
synced; otherwise it is the torn end of the log. After each sync, a marker without payload stores the synced length for
the records before it; the marker itself is not synced. Each record also stores the checksum of its predecessor, so that
remains of a truncated write are never read as a continuation of the log.
"""

from struct import Struct as Layout
from zlib import crc32

from msgspec import Struct

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
    """The valid records at the start of a file, and the position at which they end.

    `synced_bytes` is the synced length that the records prove; `corrupt` is set if synced bytes after `end` are
    damaged.
    """

    records: list[Record] = []
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


def scan(data: bytes) -> Scan:
    """Read records up to the first offset without a valid successor of the record before it."""
    scanned = Scan()
    while scanned.end < len(data):
        record = read_record(data, scanned.end)
        if record is None or not follows(record, scanned.serial, scanned.checksum):
            scanned.corrupt = was_synced(data, scanned.end, scanned.serial)
            return scanned
        if not record.is_sync_marker:
            scanned.records.append(record)
        scanned.end, scanned.serial, scanned.checksum = record.end, record.serial, record.checksum
        scanned.synced_bytes = max(scanned.synced_bytes, record.synced_bytes or 0)
    return scanned


def follows(record, serial, checksum):
    """Return whether a record is the successor of the record with this serial number and checksum."""
    expected = serial if record.is_sync_marker else serial + 1
    return record.serial == expected and record.previous_checksum in (None, checksum)


def was_synced(data, bad_offset, serial):
    """Return whether a valid record after the invalid one proves that the file was synced past `bad_offset`.

    Records of format 1 don't store the synced length and always count as proof.
    """
    return any(
        record.serial > serial and (record.synced_bytes is None or record.synced_bytes > bad_offset)
        for magic in (MAGIC, SYNC_MARKER_MAGIC, MAGIC_V1)
        for record in find_valid_records(data, magic, bad_offset + 1)
    )


def find_valid_records(data, magic, start):
    """Yield the valid records at or after `start` that begin with the given magic number."""
    offset = data.find(magic, start)
    while offset >= 0:
        record = read_record(data, offset)
        if record is not None:
            yield record
        offset = data.find(magic, offset + 1)
