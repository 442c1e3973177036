"""Division of entries and operations into messages that are bounded in number and in bytes."""

from collections.abc import Iterator, Sequence

from .configuration import Entry

# Bytes of an encoded entry or operation besides its payload, rounded up.
OVERHEAD_BYTES = 128


def entry_bytes(entry: Entry) -> int:
    """Return the size of an entry in a message, in bytes."""
    return payload_bytes(entry.payload)


def payload_bytes(payload: bytes) -> int:
    """Return the size of an operation with this payload in a message, in bytes."""
    return OVERHEAD_BYTES + len(payload)


def leading_batch(entries: Sequence[Entry], bounds) -> tuple[Entry, ...]:
    """Return the first entries, as many as fit into one message: at least one, if there are any."""
    candidates = entries[: bounds.batch]
    return tuple(candidates[: leading_count([entry_bytes(entry) for entry in candidates], bounds)])


def leading_count(sizes: Sequence[int], bounds) -> int:
    """Return how many items of these sizes in bytes fit into one message; the first one always does."""
    total_bytes = 0
    for count, size in enumerate(sizes):
        total_bytes += size
        if count and total_bytes > bounds.batch_bytes:
            return count
    return len(sizes)


def batches(entries: Sequence[Entry], bounds) -> Iterator[tuple[Entry, ...]]:
    """Yield the entries in order, divided into messages."""
    position = 0
    while position < len(entries):
        batch = leading_batch(entries[position : position + bounds.batch], bounds)
        yield batch
        position += len(batch)


def payload_batches(payloads: Sequence[bytes], bounds) -> Iterator[tuple[bytes, ...]]:
    """Yield the payloads of operations in order, divided into messages by their size alone."""
    sizes, position = [payload_bytes(payload) for payload in payloads], 0
    while position < len(payloads):
        count = leading_count(sizes[position:], bounds)
        yield tuple(payloads[position : position + count])
        position += count
