"""Bodies of turns on a storage daemon's disk; in memory only where each one lies."""

import os
from collections.abc import Callable

from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from frostpost.write_ahead_log.log import SyncLostError

from .segments import BodyFiles, SegmentLog, close_log, name_of, open_segments, read_body, write_batch

# The name that earlier builds gave the folder: it stays, so that their bodies are found.
FOLDER_ON_DISK = "silo"
SEGMENT_BYTES = 8 << 20
DISK_BYTES = 1 << 30
QUEUE_BYTES = 32 << 20
MIN_AGE_MS = 120_000


class TurnStore(Struct):
    """index: turn -> (segment, offset, length); young: when turns that may not expire yet were put."""

    machine: object
    log: SegmentLog
    tell: Callable
    index: dict[str, tuple[int, int, int]]
    sizes: dict[int, int]
    disk_bytes: int
    queue_bytes: int
    min_age_ms: int
    opened_ms: int
    young: dict[str, int] = {}
    queue: list[tuple[str, bytes]] = []
    pending: dict[str, list[Deferred]] = {}
    queued_bytes: int = 0
    busy: bool = False
    guarded: int = 0
    lost: bool = False
    missing: int = 0
    counted: int = 0
    syncs: int = 0
    repairing: object = None


FILES = BodyFiles()


def now_ms(turn_store):
    """Return the clock in milliseconds."""
    return int(turn_store.machine.seconds() * 1000)


def open_store(
    data_folder,
    machine,
    files=FILES,
    tell=lambda fault: None,
    segment_bytes=SEGMENT_BYTES,
    disk_bytes=DISK_BYTES,
    queue_bytes=QUEUE_BYTES,
    min_age_ms=MIN_AGE_MS,
):
    """Scan the segments in the data folder; `tell` hears Torn and Corrupt now, later each OSError."""
    log, index, sizes, faults = open_segments(os.path.join(data_folder, FOLDER_ON_DISK), files, segment_bytes)
    turn_store = TurnStore(
        machine, log, tell, index, sizes, disk_bytes, queue_bytes, min_age_ms, int(machine.seconds() * 1000)
    )
    for fault in faults:
        tell(fault)
    return turn_store


def is_stored(turn_store, turn):
    """Tell whether a turn's body is on disk."""
    return turn in turn_store.index


def used_bytes(turn_store):
    """Return the bytes on disk and in the queue."""
    return sum(turn_store.sizes.values()) + turn_store.queued_bytes


def has_capacity(turn_store, count_bytes=0):
    """Tell whether that many bytes may still be queued."""
    return (
        not turn_store.lost
        and used_bytes(turn_store) + count_bytes <= turn_store.disk_bytes
        and turn_store.queued_bytes + count_bytes <= turn_store.queue_bytes
    )


def put(turn_store, turn, data):
    """-> Deferred[bool]: True once the body is synced, False if it could not be kept."""
    if turn in turn_store.index and not turn_store.lost:
        protect_from_expiry(turn_store, turn)
        return succeed(True)
    if turn not in turn_store.pending:
        if not has_capacity(turn_store, len(data)):
            return succeed(False)
        enqueue(turn_store, turn, data)
    waiting = Deferred()
    turn_store.pending[turn].append(waiting)
    write_next(turn_store)
    return waiting


def enqueue(turn_store, turn, data):
    """Queue a body for writing."""
    turn_store.pending[turn] = []
    turn_store.queue.append((turn, data))
    turn_store.queued_bytes += len(data)


def protect_from_expiry(turn_store, turn):
    """Keep a body from expiring for a while, until the ledger knows its turn."""
    turn_store.young.pop(turn, None)
    turn_store.young[turn] = now_ms(turn_store)


def write_next(turn_store):
    """Write the queue as one batch, if none is being written."""
    if turn_store.busy or turn_store.lost or not turn_store.queue:
        return
    batch, turn_store.queue = turn_store.queue, []
    turn_store.busy, turn_store.guarded = True, turn_store.log.number
    turn_store.machine.in_thread(write_batch, turn_store.log, batch).addCallbacks(
        lambda written: finish_batch(turn_store, batch, written),
        lambda failure: finish_batch(turn_store, batch, None, failure.value),
    )


def finish_batch(turn_store, batch, written, fault=None):
    """Take over what a batch wrote, and answer those who wait for it."""
    turn_store.busy = False
    turn_store.queued_bytes -= sum(len(data) for _, data in batch)
    if written is not None:
        fault = written.fault
        turn_store.syncs += bool(written.spots)
        turn_store.sizes.update(written.sizes)
        for turn, spot in written.spots.items():
            if turn not in turn_store.index:
                protect_from_expiry(turn_store, turn)
            turn_store.index[turn] = spot
    waiting = [(d, turn) for turn, _ in batch for d in turn_store.pending.pop(turn)]
    if fault is not None:
        turn_store.lost = turn_store.lost or written is None or isinstance(fault, SyncLostError)
        waiting += drop_queue(turn_store) if turn_store.lost else []
        turn_store.tell(fault)
    synced = written.spots if written is not None else {}
    for deferred, turn in waiting:
        deferred.callback(turn in synced)
    write_next(turn_store)


def drop_queue(turn_store):
    """Empty the queue; return the (Deferred, turn) pairs that waited."""
    waiting = [(d, turn) for turn, _ in turn_store.queue for d in turn_store.pending.pop(turn)]
    turn_store.queued_bytes -= sum(len(data) for _, data in turn_store.queue)
    turn_store.queue = []
    return waiting


def get(turn_store, turn):
    """The body, or None; one that fails its checksum is no longer held."""
    spot = turn_store.index.get(turn)
    if spot is None:
        return None
    found = read_body(turn_store.log, spot)
    if found is None or found[0] != turn:
        del turn_store.index[turn]
        turn_store.young.pop(turn, None)
        return None
    return found[1]


def expire(turn_store, live):
    """Drops old turns for which live(turn) is false and the segments without any other; -> turns dropped."""
    now = now_ms(turn_store)
    for turn, at_ms in list(turn_store.young.items()):
        if now - at_ms < turn_store.min_age_ms:
            break
        del turn_store.young[turn]
    dead = []
    if now - turn_store.opened_ms >= turn_store.min_age_ms:
        dead = [turn for turn in turn_store.index if turn not in turn_store.young and not live(turn)]
    for turn in dead:
        del turn_store.index[turn]
    live_bytes = dict.fromkeys(turn_store.sizes, 0)
    for number, _, length in turn_store.index.values():
        live_bytes[number] += length
    shut = turn_store.guarded if turn_store.busy else turn_store.log.number
    if not turn_store.busy and turn_store.log.write_ahead_log is None:
        shut += 1
    for number in [n for n, total in live_bytes.items() if n < shut and not total]:
        remove_segment(turn_store, number)
        del live_bytes[number]
    if used_bytes(turn_store) * 2 > turn_store.disk_bytes:
        move_sparse(turn_store, {n: total for n, total in live_bytes.items() if n < shut})
    return len(dead)


def remove_segment(turn_store, number):
    """Remove a segment's file."""
    try:
        turn_store.log.files.unlink(os.path.join(turn_store.log.folder, name_of(number)))
    except FileNotFoundError:
        pass
    except OSError as fault:
        turn_store.tell(fault)
        return
    del turn_store.sizes[number]


def move_sparse(turn_store, live_bytes):
    """Write the live bodies of a sparse segment again, so that it can be removed."""
    sparse = [n for n, total in live_bytes.items() if total * 2 < turn_store.sizes[n]]
    if turn_store.lost or not sparse:
        return
    number = min(sparse, key=live_bytes.get)
    for turn in [t for t, spot in turn_store.index.items() if spot[0] == number and t not in turn_store.pending]:
        data = get(turn_store, turn)
        if data is not None:
            enqueue(turn_store, turn, data)
    write_next(turn_store)


def close(turn_store):
    """Call when no batch is under way; what is queued and later puts are answered False."""
    turn_store.lost = True
    for deferred, _ in drop_queue(turn_store):
        deferred.callback(False)
    if not turn_store.busy:
        close_log(turn_store.log)
