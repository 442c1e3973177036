"""Snapshots of the ledger, encoded and decoded a bounded number of records at a time.

A snapshot is the ledger as one MessagePack map, which `apply.decode_state` of any build can decode in one call. If a
table is large, the map has an additional entry with the positions of the large tables and of their slices, which
`decode_in_slices` uses to decode them slice by slice. Encoders and decoders are generators: each step processes one
slice, and the generator returns the result.
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
    """Position of a large table in a snapshot.

    `path` names its field, `start` and `end` enclose its bytes with their header, `slices` holds the end and the number
    of items of each slice.
    """

    path: tuple[str, ...]
    start: int
    end: int
    slices: tuple[tuple[int, int], ...]


class EncodedOutput(Struct):
    """Encoded chunks, their total size in bytes and the index of the large tables."""

    chunks: list[bytes] = []
    size: int = 0
    tables: list[TableIndex] = []


decode_table_index = msgpack.Decoder(list[TableIndex]).decode


def encode_in_slices(ledger: Ledger, slice_records: int) -> Generator[None, None, bytes]:
    """Encode the ledger, which must not change until the generator has finished."""
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
    """Return whether a record contains a table that is encoded in slices."""
    return any(
        is_large(inner, slice_records) or isinstance(inner, Struct) and has_large_table(inner, slice_records)
        for inner in (getattr(value, field.name) for field in structs.fields(value))
    )


def is_large(value, slice_records):
    """Return whether a value is a table with more records than fit into one slice."""
    return isinstance(value, dict | list) and len(value) > slice_records


def encode_value(output, path, value, slice_records):
    """Encode one value, yielding between slices."""
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
    """Encode one table, yielding after each slice."""
    start, slices = output.size, []
    append_bytes(output, header_like(table, len(table)))
    for records in split_table(table, slice_records):
        append_bytes(output, encode(records)[header_bytes(len(records)) :])
        slices.append((output.size, len(records)))
        yield
    output.tables.append(TableIndex(path, start, output.size, tuple(slices)))


def split_table(table: dict | list, slice_records: int) -> Iterator[dict | list]:
    """Split a table into parts of at most `slice_records` records."""
    items = iter(table.items() if isinstance(table, dict) else table)
    while records := type(table)(islice(items, slice_records)):
        yield records


def append_bytes(output, data):
    """Append encoded bytes to the output."""
    output.chunks.append(data)
    output.size += len(data)


def map_header(count):
    """Return the MessagePack header (map 32) of a map."""
    return b"\xdf" + count.to_bytes(4, "big")


def list_header(count):
    """Return the MessagePack header (array 32) of a list."""
    return b"\xdd" + count.to_bytes(4, "big")


def header_like(table, count):
    """Return the MessagePack header of a table of the same type with this many records."""
    return map_header(count) if isinstance(table, dict) else list_header(count)


def header_bytes(count):
    """Return the length of the header that msgspec writes for a map or list of this many items."""
    if count < FIX_HEADER_ITEMS:
        return 1
    return 3 if count < HEADER_16_ITEMS else 5


def add_trailer(table_index):
    """Append the length and the magic bytes by which a decoder finds the index."""
    return table_index + len(table_index).to_bytes(LENGTH_BYTES, "big") + SPLITS_MAGIC


def read_table_index(state: bytes) -> list[TableIndex]:
    """Return the positions of the large tables of a snapshot; empty if it has none."""
    if not state.endswith(SPLITS_MAGIC):
        return []
    end = len(state) - len(SPLITS_MAGIC) - LENGTH_BYTES
    length = int.from_bytes(state[end : end + LENGTH_BYTES], "big")
    return decode_table_index(state[end - length : end])


def decode_in_slices(state: bytes) -> Generator[None, None, Ledger]:
    """Decode a snapshot, yielding after each slice."""
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
    """Return the snapshot with the large tables replaced by empty ones."""
    if not tables:
        return state
    chunks: list[bytes] = []
    position = 0
    for table in tables:
        empty = b"\x80" if state[table.start : table.start + 1] == map_header(0)[:1] else b"\x90"
        chunks += (state[position : table.start], empty)
        position = table.end
    return b"".join((*chunks, state[position:]))


def decode_table(state, table, owner, name):
    """Decode one table into the field of its owner, yielding after each slice."""
    target = getattr(owner, name)
    decoder = msgpack.Decoder(next(f.type for f in structs.fields(owner) if f.name == name))
    position = table.start + len(map_header(0))
    for end, count in table.slices:
        records = decoder.decode(header_like(target, count) + state[position:end])
        target.update(records) if isinstance(target, dict) else target.extend(records)
        position = end
        yield


def run_to_completion(work: Generator):
    """Run a generator to its end and return its result."""
    while True:
        try:
            next(work)
        except StopIteration as done:
            return done.value
