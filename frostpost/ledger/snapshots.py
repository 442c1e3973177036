"""Snapshots of the ledger, encoded and decoded a bounded number of records at a time.

The bytes are the ledger as one MessagePack map, which `apply.decode_state` of any build reads in one go. If a table is
large, the map has one entry more: where the large tables lie and where they may be split. `decoding` uses it to read
them in slices. Encoders and decoders are generators: each step does one slice, the return value is the result.
"""

from collections.abc import Generator, Iterator
from itertools import islice

from msgspec import Struct, msgpack, structs

from .apply import decode_state, encode
from .state import Ledger

SPLITS_KEY = "splits"
SPLITS_MAGIC = b"\xf0\x59SP"
LENGTH_BYTES = 4
FIX_HEADER_ITEMS, HEADER_16_ITEMS = 16, 1 << 16


class TableIndex(Struct, frozen=True, array_like=True):
    """A large table: its field, its bytes with its header, and where each slice ends and how many items it has."""

    path: tuple[str, ...]
    start: int
    end: int
    slices: tuple[tuple[int, int], ...]


class EncodedOutput(Struct):
    """What was encoded so far."""

    chunks: list[bytes] = []
    size: int = 0
    tables: list[TableIndex] = []


decode_table_index = msgpack.Decoder(list[TableIndex]).decode


def encode_in_slices(ledger: Ledger, slice_records: int) -> Generator[None, None, bytes]:
    """Encode the ledger, which must not change meanwhile."""
    if not has_large_table(ledger, slice_records):
        return encode(ledger)
    output, fields = EncodedOutput(), structs.fields(ledger)
    append_bytes(output, map_header(len(fields) + 1))
    for field in fields:
        append_bytes(output, encode(field.encode_name))
        yield from encode_value(output, (field.name,), getattr(ledger, field.name), slice_records)
    append_bytes(output, encode(SPLITS_KEY))
    append_bytes(output, encode(add_trailer(encode(output.tables))))
    return b"".join(output.chunks)


def has_large_table(value, slice_records):
    """Tell whether a record holds a table that is encoded in slices."""
    return any(
        is_large(inner, slice_records) or isinstance(inner, Struct) and has_large_table(inner, slice_records)
        for inner in (getattr(value, field.name) for field in structs.fields(value))
    )


def is_large(value, slice_records):
    """Tell whether a value is a table of more records than one slice has."""
    return isinstance(value, dict | list) and len(value) > slice_records


def encode_value(output, path, value, slice_records):
    """Encode one value; yields between slices."""
    if is_large(value, slice_records):
        yield from encode_table(output, path, value, slice_records)
    elif isinstance(value, Struct) and has_large_table(value, slice_records):
        fields = structs.fields(value)
        append_bytes(output, list_header(len(fields)))
        for field in fields:
            yield from encode_value(output, (*path, field.name), getattr(value, field.name), slice_records)
    else:
        append_bytes(output, encode(value))


def encode_table(output, path, table, slice_records):
    """Encode one table, slice by slice."""
    start, slices = output.size, []
    append_bytes(output, header_like(table, len(table)))
    for part in split_table(table, slice_records):
        append_bytes(output, encode(part)[header_bytes(len(part)) :])
        slices.append((output.size, len(part)))
        yield
    output.tables.append(TableIndex(path, start, output.size, tuple(slices)))


def split_table(table: dict | list, slice_records: int) -> Iterator[dict | list]:
    """Split a table into parts of at most `slice_records` records."""
    items = iter(table.items() if isinstance(table, dict) else table)
    while part := type(table)(islice(items, slice_records)):
        yield part


def append_bytes(output, data):
    """Add bytes to the output."""
    output.chunks.append(data)
    output.size += len(data)


def map_header(count):
    """Return the msgpack header of a map."""
    return b"\xdf" + count.to_bytes(4, "big")


def list_header(count):
    """Return the msgpack header of a list."""
    return b"\xdd" + count.to_bytes(4, "big")


def header_like(table, count):
    """Return the msgpack header of a table of that many records."""
    return map_header(count) if isinstance(table, dict) else list_header(count)


def header_bytes(count):
    """Length of the header that the encoder gives a map or list of that many items."""
    if count < FIX_HEADER_ITEMS:
        return 1
    return 3 if count < HEADER_16_ITEMS else 5


def add_trailer(tables):
    """Add the length and mark by which a reader finds the tables."""
    return tables + len(tables).to_bytes(LENGTH_BYTES, "big") + SPLITS_MAGIC


def read_table_index(state: bytes) -> list[TableIndex]:
    """Where the large tables of a snapshot lie; empty if it has none."""
    if not state.endswith(SPLITS_MAGIC):
        return []
    end = len(state) - len(SPLITS_MAGIC) - LENGTH_BYTES
    length = int.from_bytes(state[end : end + LENGTH_BYTES], "big")
    return decode_table_index(state[end - length : end])


def decode_in_slices(state: bytes) -> Generator[None, None, Ledger]:
    """Decode a snapshot."""
    tables = read_table_index(state)
    ledger = decode_state(without_tables(state, tables))
    yield
    for table in tables:
        owner = ledger
        for name in table.path[:-1]:
            owner = getattr(owner, name)
        yield from decode_table(state, table, owner, table.path[-1])
    return ledger


def without_tables(state, tables):
    """The snapshot with empty tables in place of the large ones."""
    if not tables:
        return state
    chunks: list[bytes] = []
    at = 0
    for table in tables:
        empty = b"\x80" if state[table.start : table.start + 1] == map_header(0)[:1] else b"\x90"
        chunks += (state[at : table.start], empty)
        at = table.end
    return b"".join((*chunks, state[at:]))


def decode_table(state, table, owner, name):
    """Decode one table into its owner, slice by slice."""
    held = getattr(owner, name)
    decoder = msgpack.Decoder(next(f.type for f in structs.fields(owner) if f.name == name))
    at = table.start + len(map_header(0))
    for end, count in table.slices:
        part = decoder.decode(header_like(held, count) + state[at:end])
        held.update(part) if isinstance(held, dict) else held.extend(part)
        at = end
        yield


def run_to_completion(work: Generator):
    """Do all steps at once; -> the result."""
    while True:
        try:
            next(work)
        except StopIteration as done:
            return done.value
