"""The record format of the write-ahead log, and how much of a file's bytes may be believed after a crash.

A power failure may lose any part of what was written since the last sync: a valid record past a bad one is then no sign
of corruption. Each record therefore tells how many bytes of the file were synced when it was written. A bad record is
corruption only if a later valid record proves that the bad place had been synced; otherwise the file ends there. After
each sync a mark without payload tells the same of the last records, for as long as the page cache or the disk keeps it.
Each record also carries the checksum of the one before it, so that leftovers of a write taken back never join on.
"""

from struct import Struct as Layout
from zlib import crc32

from msgspec import Struct

MAGIC = b"\xf0\x58"
MARK_MAGIC = b"\xf0\x5a"
HEADER = Layout(">2sIQQII")
CHECKSUM_BYTES = 4

MAGIC_1 = b"\xf0\x57"
HEADER_1 = Layout(">2sIQI")


class Record(Struct, frozen=True):
    """A valid record, or a mark. `synced_bytes` and `previous` are None in records of the first format."""

    offset: int
    end: int
    serial: int
    payload: bytes
    checksum: int
    synced_bytes: int | None = None
    previous: int | None = None
    is_mark: bool = False


class Scan(Struct):
    """The records that may be believed, where they end, and whether synced bytes past them are damaged.

    `synced_bytes`: how many bytes the records themselves prove to have been synced.
    """

    records: list[Record] = []
    end: int = 0
    serial: int = 0
    checksum: int = 0
    synced_bytes: int = 0
    corrupt: bool = False


def seal(serial: int, payload: bytes, synced_bytes: int, previous: int, magic: bytes = MAGIC) -> tuple[bytes, int]:
    """Return the header of a record and its checksum; the payload follows the header."""
    unsummed = HEADER.pack(magic, len(payload), serial, synced_bytes, previous, 0)[:-CHECKSUM_BYTES]
    checksum = crc32(payload, crc32(unsummed))
    return unsummed + checksum.to_bytes(CHECKSUM_BYTES, "big"), checksum


def seal_mark(serial: int, synced_bytes: int, previous: int) -> tuple[bytes, int]:
    """Return the bytes of a mark, which has the serial number of the record before it, and its checksum."""
    return seal(serial, b"", synced_bytes, previous, MARK_MAGIC)


def read_at(data: bytes, offset: int) -> Record | None:
    """Return the valid record that starts at the offset, or None."""
    magic = data[offset : offset + len(MAGIC)]
    if magic in (MAGIC, MARK_MAGIC):
        return read_current(data, offset)
    if magic == MAGIC_1:
        return read_first_format(data, offset)
    return None


def read_current(data, offset):
    """Read a record of the current format at an offset, or return None."""
    start = offset + HEADER.size
    if start > len(data):
        return None
    magic, length, serial, synced_bytes, previous, checksum = HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if len(payload) < length or crc32(payload, crc32(data[offset : start - CHECKSUM_BYTES])) != checksum:
        return None
    return Record(offset, start + length, serial, payload, checksum, synced_bytes, previous, magic == MARK_MAGIC)


def read_first_format(data, offset):
    """Read a record of the first format at an offset, or return None."""
    start = offset + HEADER_1.size
    if start > len(data):
        return None
    _, length, serial, checksum = HEADER_1.unpack_from(data, offset)
    payload = data[start : start + length]
    if len(payload) < length or crc32(payload, crc32(serial.to_bytes(8, "big"))) != checksum:
        return None
    return Record(offset, start + length, serial, payload, checksum)


def scan(data: bytes) -> Scan:
    """Read records up to the first place that does not continue them."""
    found = Scan()
    while found.end < len(data):
        record = read_at(data, found.end)
        if record is None or not continues(record, found.serial, found.checksum):
            found.corrupt = proven_synced(data, found.end, found.serial)
            return found
        if not record.is_mark:
            found.records.append(record)
        found.end, found.serial, found.checksum = record.end, record.serial, record.checksum
        found.synced_bytes = max(found.synced_bytes, record.synced_bytes or 0)
    return found


def continues(record, serial, checksum):
    """Tell whether a record follows the one before it."""
    expected = serial if record.is_mark else serial + 1
    return record.serial == expected and record.previous in (None, checksum)


def proven_synced(data, bad_offset, serial):
    """Whether a valid record past the bad place tells that the bad place had been synced."""
    return any(
        record.serial > serial and (record.synced_bytes is None or record.synced_bytes > bad_offset)
        for magic in (MAGIC, MARK_MAGIC, MAGIC_1)
        for record in valid_records(data, magic, bad_offset + 1)
    )


def valid_records(data, magic, start):
    """Yield the valid records that begin with a magic number, from an offset on."""
    offset = data.find(magic, start)
    while offset >= 0:
        record = read_at(data, offset)
        if record is not None:
            yield record
        offset = data.find(magic, offset + 1)
