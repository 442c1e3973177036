"""State of the snapshots that a member takes, serves and loads, and their encoding and decoding in slices.

The generators yield between slices, so that the event loop is not blocked by a large snapshot.
"""

from collections.abc import Generator
from hashlib import blake2b

from msgspec import Struct

from frostpost.ledger import snapshots
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.events import SnapshotReceived, SnapshotRequested

DIGEST_SLICE_BYTES = 1 << 20
DIGEST_BYTES = 16


class SnapshotEncoding(Struct):
    """A snapshot that is being encoded; `work` returns its bytes and digest."""

    index: int
    work: Generator
    for_compaction: bool
    started_ms: int


class EncodedSnapshot(Struct):
    """A snapshot of all entries up to `index`, and the time at which a chunk of it was last requested."""

    index: int
    state: bytes
    digest: str
    last_requested_ms: int


class SnapshotDecoding(Struct):
    """A received snapshot that is being decoded; `work` returns the ledger, or None if the digest doesn't match."""

    received: SnapshotReceived
    work: Generator


class Snapshots(Struct):
    """The snapshots of a member.

    `served` is fetched by peers, `for_compaction` is to replace the log, `pending_requests` holds the requests that
    wait for a snapshot, by peer. No snapshot is taken for a compaction before `compact_after_ms`.
    """

    taking: SnapshotEncoding | None = None
    served: EncodedSnapshot | None = None
    for_compaction: EncodedSnapshot | None = None
    loading: SnapshotDecoding | None = None
    pending_requests: dict[str, SnapshotRequested] = {}
    compact_after_ms: int = 0

    @property
    def busy(self) -> bool:
        """Whether there is another slice to process."""
        return self.taking is not None or self.loading is not None


def hash_in_slices(state: bytes) -> Generator[None, None, str]:
    """Return the digest of the bytes, hashed a slice at a time."""
    digest, view = blake2b(digest_size=DIGEST_BYTES), memoryview(state)
    for offset in range(0, len(state), DIGEST_SLICE_BYTES):
        if offset:
            yield
        digest.update(view[offset : offset + DIGEST_SLICE_BYTES])
    return digest.hexdigest()


def encode_snapshot(ledger: Ledger, slice_records: int) -> Generator[None, None, tuple[bytes, str]]:
    """Return the encoded ledger and its digest, processed in slices."""
    state = yield from snapshots.encode_in_slices(ledger, slice_records)
    digest = yield from hash_in_slices(state)
    return state, digest


def decode_snapshot(received: SnapshotReceived) -> Generator[None, None, Ledger | None]:
    """Return the ledger of a received snapshot, processed in slices, or None if its digest doesn't match."""
    digest = yield from hash_in_slices(received.state)
    if digest != received.digest:
        return None
    return (yield from snapshots.decode_in_slices(received.state))
