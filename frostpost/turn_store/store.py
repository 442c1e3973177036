"""Bodies of turns on a storage daemon's disk; in memory only where each one lies."""

import os
from typing import Callable

from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from frostpost.write_ahead_log.disk import SyncLost
from .segments import Log, SiloFiles, close_log, name_of, open_log, read_spot, write_batch

SEGMENT_BYTES = 8 << 20
DISK_BYTES = 1 << 30
QUEUE_BYTES = 32 << 20
MIN_AGE_MS = 120_000


class Silo(Struct):
    """index: turn -> (segment, offset, length); young: when turns that may not expire yet were put."""

    machine: object
    log: Log
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
    syncs: int = 0
    repairing: object = None


def now_ms(silo):
    return int(silo.machine.seconds() * 1000)


def open_(
    data_folder,
    machine,
    files=SiloFiles(),
    tell=lambda fault: None,
    segment_bytes=SEGMENT_BYTES,
    disk_bytes=DISK_BYTES,
    queue_bytes=QUEUE_BYTES,
    min_age_ms=MIN_AGE_MS,
):
    """Scans <data_folder>/silo; `tell` hears Torn and Corrupt now, each OSError (SyncLost too) later."""
    log, index, sizes, faults = open_log(os.path.join(data_folder, "turn_store"), files, segment_bytes)
    silo = Silo(machine, log, tell, index, sizes, disk_bytes, queue_bytes, min_age_ms, int(machine.seconds() * 1000))
    for fault in faults:
        tell(fault)
    return silo


def held(silo, turn):
    return turn in silo.index


def used_bytes(silo):
    return sum(silo.sizes.values()) + silo.queued_bytes


def has_room(silo, count_bytes=0):
    return (
        not silo.lost
        and used_bytes(silo) + count_bytes <= silo.disk_bytes
        and silo.queued_bytes + count_bytes <= silo.queue_bytes
    )


def put(silo, turn, data):
    """-> Deferred[bool]: True once the body is synced, False if it could not be kept."""
    if turn in silo.index and not silo.lost:
        keep_young(silo, turn)
        return succeed(True)
    if turn not in silo.pending:
        if not has_room(silo, len(data)):
            return succeed(False)
        enqueue(silo, turn, data)
    waiting = Deferred()
    silo.pending[turn].append(waiting)
    write_next(silo)
    return waiting


def enqueue(silo, turn, data):
    silo.pending[turn] = []
    silo.queue.append((turn, data))
    silo.queued_bytes += len(data)


def keep_young(silo, turn):
    silo.young.pop(turn, None)
    silo.young[turn] = now_ms(silo)


def write_next(silo):
    if silo.busy or silo.lost or not silo.queue:
        return
    batch, silo.queue = silo.queue, []
    silo.busy, silo.guarded = True, silo.log.number
    silo.machine.inThread(write_batch, silo.log, batch).addCallbacks(
        lambda written: settle(silo, batch, written), lambda failure: settle(silo, batch, None, failure.value)
    )


def settle(silo, batch, written, fault=None):
    silo.busy = False
    silo.queued_bytes -= sum(len(data) for _, data in batch)
    if written is not None:
        fault = written.fault
        silo.syncs += bool(written.spots)
        silo.sizes.update(written.sizes)
        for turn, spot in written.spots.items():
            if turn not in silo.index:
                keep_young(silo, turn)
            silo.index[turn] = spot
    waiting = [(d, turn) for turn, _ in batch for d in silo.pending.pop(turn)]
    if fault is not None:
        silo.lost = silo.lost or written is None or isinstance(fault, SyncLost)
        waiting += drop_queue(silo) if silo.lost else []
        silo.tell(fault)
    synced = written.spots if written is not None else {}
    for deferred, turn in waiting:
        deferred.callback(turn in synced)
    write_next(silo)


def drop_queue(silo):
    waiting = [(d, turn) for turn, _ in silo.queue for d in silo.pending.pop(turn)]
    silo.queued_bytes -= sum(len(data) for _, data in silo.queue)
    silo.queue = []
    return waiting


def get(silo, turn):
    """The body, or None; one that fails its checksum is no longer held."""
    spot = silo.index.get(turn)
    if spot is None:
        return None
    found = read_spot(silo.log, spot)
    if found is None or found[0] != turn:
        del silo.index[turn]
        silo.young.pop(turn, None)
        return None
    return found[1]


def expire(silo, live):
    """Drops old turns for which live(turn) is false and the segments without any other; -> turns dropped."""
    now = now_ms(silo)
    for turn, at_ms in list(silo.young.items()):
        if now - at_ms < silo.min_age_ms:
            break
        del silo.young[turn]
    dead = []
    if now - silo.opened_ms >= silo.min_age_ms:
        dead = [turn for turn in silo.index if turn not in silo.young and not live(turn)]
    for turn in dead:
        del silo.index[turn]
    live_bytes = dict.fromkeys(silo.sizes, 0)
    for number, _, length in silo.index.values():
        live_bytes[number] += length
    shut = silo.guarded if silo.busy else silo.log.number
    if not silo.busy and silo.log.furrow is None:
        shut += 1
    for number in [n for n, total in live_bytes.items() if n < shut and not total]:
        remove_segment(silo, number)
        del live_bytes[number]
    if used_bytes(silo) * 2 > silo.disk_bytes:
        move_sparse(silo, {n: total for n, total in live_bytes.items() if n < shut})
    return len(dead)


def remove_segment(silo, number):
    try:
        silo.log.files.unlink(os.path.join(silo.log.folder, name_of(number)))
    except FileNotFoundError:
        pass
    except OSError as fault:
        silo.tell(fault)
        return
    del silo.sizes[number]


def move_sparse(silo, live_bytes):
    sparse = [n for n, total in live_bytes.items() if total * 2 < silo.sizes[n]]
    if silo.lost or not sparse:
        return
    number = min(sparse, key=live_bytes.get)
    for turn in [t for t, spot in silo.index.items() if spot[0] == number and t not in silo.pending]:
        data = get(silo, turn)
        if data is not None:
            enqueue(silo, turn, data)
    write_next(silo)


def close(silo):
    """Call when no batch is under way; what is queued and later puts are answered False."""
    silo.lost = True
    for deferred, _ in drop_queue(silo):
        deferred.callback(False)
    if not silo.busy:
        close_log(silo.log)
