"""What a member knows of the snapshots that it takes, serves and loads, and the work on one as generators of slices."""

from collections.abc import Generator
from hashlib import blake2b

from msgspec import Struct

from frostpost.ledger import snapshots
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.events import SnapshotReceived, SnapshotRequested

DIGEST_SLICE_BYTES = 1 << 20
DIGEST_BYTES = 16


class Taking(Struct):
    """A snapshot under way; `work` returns its bytes and digest. `for_log`: the log is to be rewritten with it."""

    index: int
    work: Generator
    for_log: bool
    began_ms: int


class Taken(Struct):
    """A snapshot of all entries up to `index`; `asked_ms`: when a piece of it was asked for last."""

    index: int
    state: bytes
    digest: str
    asked_ms: int


class Loading(Struct):
    """A received snapshot that is being decoded; `work` returns the ledger, or None if the bytes are not as sent."""

    received: SnapshotReceived
    work: Generator


class Snapshots(Struct):
    """`served`: what members fetch; `for_log`: what the log is to be rewritten with; `askers`: who waits for one.

    `rests_until_ms`: none is taken for the log until then.
    """

    taking: Taking | None = None
    served: Taken | None = None
    for_log: Taken | None = None
    loading: Loading | None = None
    askers: dict[str, SnapshotRequested] = {}
    rests_until_ms: int = 0

    @property
    def busy(self) -> bool:
        """Whether another slice of work is due."""
        return self.taking is not None or self.loading is not None


def digesting(state: bytes) -> Generator[None, None, str]:
    """Hash the bytes a slice at a time."""
    digest, view = blake2b(digest_size=DIGEST_BYTES), memoryview(state)
    for at in range(0, len(state), DIGEST_SLICE_BYTES):
        if at:
            yield
        digest.update(view[at : at + DIGEST_SLICE_BYTES])
    return digest.hexdigest()


def take(ledger: Ledger, slice_records: int) -> Generator[None, None, tuple[bytes, str]]:
    """Encode and hash."""
    state = yield from snapshots.encode_in_slices(ledger, slice_records)
    digest = yield from digesting(state)
    return state, digest


def load(received: SnapshotReceived) -> Generator[None, None, Ledger | None]:
    """Check and decode."""
    digest = yield from digesting(received.state)
    if digest != received.digest:
        return None
    return (yield from snapshots.decode_in_slices(received.state))
