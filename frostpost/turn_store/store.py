"""Turn bodies on a replica's disk, with an in-memory index of their locations."""

import os
from collections.abc import Callable

from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from frostpost.write_ahead_log.log import SyncLostError

from .segments import BodyFiles, SegmentLog, close_segment, open_segments, read_body, segment_name, write_batch

# The folder's name in earlier releases, kept so that existing data is found.
FOLDER_NAME = "silo"
SEGMENT_BYTES = 8 << 20
MAX_DISK_BYTES = 1 << 30
MAX_QUEUE_BYTES = 32 << 20
# Younger bodies don't expire: their turns may not have been applied to the ledger yet.
MIN_AGE_MS = 120_000


class TurnStore(Struct):
    """Turn bodies on disk and those that are being written.

    index: (segment number, offset, length) by turn. protected_since_ms: when recent bodies were put, oldest first.
    pending_puts: the waiters of each turn that is queued or being written. batch_segment: the segment that was open
    when the running batch began. is_stopped: a sync failed or the store was closed, so nothing more is written.
    missing_count: bodies of live turns missing here, as of ledger index `missing_as_of_index`.
    """

    machine: object
    log: SegmentLog
    on_error: Callable
    index: dict[str, tuple[int, int, int]]
    segment_sizes: dict[int, int]
    max_disk_bytes: int
    max_queue_bytes: int
    min_age_ms: int
    opened_ms: int
    protected_since_ms: dict[str, int] = {}
    queue: list[tuple[str, bytes]] = []
    pending_puts: dict[str, list[Deferred]] = {}
    queued_bytes: int = 0
    is_writing: bool = False
    batch_segment: int = 0
    is_stopped: bool = False
    missing_count: int = 0
    missing_as_of_index: int = 0
    sync_count: int = 0
    repair_state: object = None


FILES = BodyFiles()


def now_ms(turn_store):
    """Return the monotonic clock in whole milliseconds."""
    return int(turn_store.machine.seconds() * 1000)


def open_store(
    data_folder,
    machine,
    files=FILES,
    on_error=lambda error: None,
    segment_bytes=SEGMENT_BYTES,
    max_disk_bytes=MAX_DISK_BYTES,
    max_queue_bytes=MAX_QUEUE_BYTES,
    min_age_ms=MIN_AGE_MS,
):
    """Scan the segments in a data folder; `on_error` gets each Torn or Corrupt found, and later each OSError."""
    log, index, sizes, errors = open_segments(os.path.join(data_folder, FOLDER_NAME), files, segment_bytes)
    turn_store = TurnStore(
        machine, log, on_error, index, sizes, max_disk_bytes, max_queue_bytes, min_age_ms, int(machine.seconds() * 1000)
    )
    for error in errors:
        on_error(error)
    return turn_store


def is_stored(turn_store, turn):
    """Return whether a turn's body is on disk."""
    return turn in turn_store.index


def used_bytes(turn_store):
    """Return the bytes on disk and in the queue."""
    return sum(turn_store.segment_sizes.values()) + turn_store.queued_bytes


def has_capacity(turn_store, additional_bytes=0):
    """Return whether this many more bytes may be queued."""
    return (
        not turn_store.is_stopped
        and used_bytes(turn_store) + additional_bytes <= turn_store.max_disk_bytes
        and turn_store.queued_bytes + additional_bytes <= turn_store.max_queue_bytes
    )


def put(turn_store, turn, data):
    """Write a body unless it is stored already; return a Deferred of whether it is synced to disk."""
    if turn in turn_store.index and not turn_store.is_stopped:
        protect_from_expiry(turn_store, turn)
        return succeed(True)
    if turn not in turn_store.pending_puts:
        if not has_capacity(turn_store, len(data)):
            return succeed(False)
        enqueue(turn_store, turn, data)
    synced = Deferred()
    turn_store.pending_puts[turn].append(synced)
    write_next_batch(turn_store)
    return synced


def enqueue(turn_store, turn, data):
    """Queue a body for writing."""
    turn_store.pending_puts[turn] = []
    turn_store.queue.append((turn, data))
    turn_store.queued_bytes += len(data)


def protect_from_expiry(turn_store, turn):
    """Protect a body from expiry for `min_age_ms`, in which the ledger applies its turn."""
    turn_store.protected_since_ms.pop(turn, None)
    turn_store.protected_since_ms[turn] = now_ms(turn_store)


def write_next_batch(turn_store):
    """Write the queue as one batch, unless a batch is being written."""
    if turn_store.is_writing or turn_store.is_stopped or not turn_store.queue:
        return
    batch, turn_store.queue = turn_store.queue, []
    turn_store.is_writing, turn_store.batch_segment = True, turn_store.log.number
    turn_store.machine.in_thread(write_batch, turn_store.log, batch).addCallbacks(
        lambda result: finish_batch(turn_store, batch, result),
        lambda failure: finish_batch(turn_store, batch, None, failure.value),
    )


def finish_batch(turn_store, batch, result, error=None):
    """Index what a batch wrote, answer its puts and write the next batch."""
    turn_store.is_writing = False
    turn_store.queued_bytes -= sum(len(data) for _, data in batch)
    if result is not None:
        error = result.error
        turn_store.sync_count += bool(result.locations)
        turn_store.segment_sizes.update(result.segment_sizes)
        for turn, location in result.locations.items():
            if turn not in turn_store.index:
                protect_from_expiry(turn_store, turn)
            turn_store.index[turn] = location
    waiters = [(d, turn) for turn, _ in batch for d in turn_store.pending_puts.pop(turn)]
    if error is not None:
        turn_store.is_stopped = turn_store.is_stopped or result is None or isinstance(error, SyncLostError)
        waiters += clear_queue(turn_store) if turn_store.is_stopped else []
        turn_store.on_error(error)
    synced = result.locations if result is not None else {}
    for deferred, turn in waiters:
        deferred.callback(turn in synced)
    write_next_batch(turn_store)


def clear_queue(turn_store):
    """Empty the queue; return the (Deferred, turn) pairs that wait for it."""
    waiters = [(d, turn) for turn, _ in turn_store.queue for d in turn_store.pending_puts.pop(turn)]
    turn_store.queued_bytes -= sum(len(data) for _, data in turn_store.queue)
    turn_store.queue = []
    return waiters


def get(turn_store, turn):
    """Return a turn's body, or None; a body that can't be read or fails its checksum is dropped from the index."""
    location = turn_store.index.get(turn)
    if location is None:
        return None
    found = read_body(turn_store.log, location)
    if found is None or found[0] != turn:
        del turn_store.index[turn]
        turn_store.protected_since_ms.pop(turn, None)
        return None
    return found[1]


def expire(turn_store, is_live):
    """Drop old turns for which `is_live(turn)` is false, and segments without live turns.

    Compacts a sparse segment if more than half of the disk space is used. Returns the number of turns dropped.
    """
    now = now_ms(turn_store)
    for turn, put_ms in list(turn_store.protected_since_ms.items()):
        if now - put_ms < turn_store.min_age_ms:
            break
        del turn_store.protected_since_ms[turn]
    expired = []
    if now - turn_store.opened_ms >= turn_store.min_age_ms:
        expired = [t for t in turn_store.index if t not in turn_store.protected_since_ms and not is_live(t)]
    for turn in expired:
        del turn_store.index[turn]
    live_bytes = dict.fromkeys(turn_store.segment_sizes, 0)
    for number, _, length in turn_store.index.values():
        live_bytes[number] += length
    first_open = turn_store.batch_segment if turn_store.is_writing else turn_store.log.number
    if not turn_store.is_writing and turn_store.log.write_ahead_log is None:
        first_open += 1
    for number in [n for n, total in live_bytes.items() if n < first_open and not total]:
        remove_segment(turn_store, number)
        del live_bytes[number]
    if used_bytes(turn_store) * 2 > turn_store.max_disk_bytes:
        compact_sparse_segment(turn_store, {n: total for n, total in live_bytes.items() if n < first_open})
    return len(expired)


def remove_segment(turn_store, number):
    """Delete a segment's file."""
    try:
        turn_store.log.files.unlink(os.path.join(turn_store.log.folder, segment_name(number)))
    except FileNotFoundError:
        pass
    except OSError as error:
        turn_store.on_error(error)
        return
    del turn_store.segment_sizes[number]


def compact_sparse_segment(turn_store, live_bytes):
    """Rewrite the live bodies of the sparsest segment, so that it can be removed once they have been written."""
    sparse = [n for n, total in live_bytes.items() if total * 2 < turn_store.segment_sizes[n]]
    if turn_store.is_stopped or not sparse:
        return
    number = min(sparse, key=live_bytes.get)
    for turn in [t for t, s in turn_store.index.items() if s[0] == number and t not in turn_store.pending_puts]:
        data = get(turn_store, turn)
        if data is not None:
            enqueue(turn_store, turn, data)
    write_next_batch(turn_store)


def close(turn_store):
    """Close the store when no batch is being written; queued and later puts get False."""
    turn_store.is_stopped = True
    for deferred, _ in clear_queue(turn_store):
        deferred.callback(False)
    if not turn_store.is_writing:
        close_segment(turn_store.log)
