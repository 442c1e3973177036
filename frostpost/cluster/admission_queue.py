"""Queue of BeginAttempt operations that wait at the leader until a runner has a free slot.

A BeginAttempt without a free slot changes nothing in the ledger, so its refusal need not be ordered. The leader queues
it by urgency and submits it once a slot is free; agents need not retry, and all that wait for the same runners wait in
one place, where their urgency can be compared. The queue is soft state: after a change of
leader, agents resend undecided operations and the new leader builds its own queue.
"""

from collections.abc import Callable
from heapq import heappop, heappush

from msgspec import Struct

from frostpost.program_ledger.messages import NoCapacity
from frostpost.program_ledger.placement import free_slots
from frostpost.program_ledger.turns import is_waiting_for_slot

# Further attempts are refused at once.
MAX_QUEUED = 2048
RETRY_MS = 20


class QueuedAttempt(Struct, eq=False):
    """A BeginAttempt that waits for a slot until until_ms on the leader's clock, when `timer` expires it.

    submit(entry) submits the operation; refuse(result) replies to the agent that nothing was begun.
    """

    op: object
    until_ms: int
    submit: Callable
    refuse: Callable
    timer: object = None
    is_removed: bool = False


class AdmissionQueue(Struct):
    """Owned by a replica and changed only on its event loop.

    heaps: per pool, (urgency, number, QueuedAttempt); removed entries stay until they reach the top. queued: the same
    entries by attempt. undecided: per pool, how many BeginAttempts are submitted and not yet decided.
    """

    heaps: dict[str, list[tuple[tuple[bool, int, int], int, QueuedAttempt]]] = {}
    queued: dict[str, QueuedAttempt] = {}
    undecided: dict[str, int] = {}
    number: int = 0


def urgency(op, now_ms):
    """Sort key: first what can still meet its program's deadline, then by rank, then by the earlier deadline."""
    return op.deadline_in_ms < 0, op.rank, now_ms + op.deadline_in_ms


def enqueue(queue, entry, now_ms, call_later):
    """Queue an entry until its deadline; refuse it at once if the queue is full."""
    if len(queue.queued) >= MAX_QUEUED:
        entry.refuse(NoCapacity(RETRY_MS))
        return
    queue.number += 1
    queue.queued[entry.op.attempt] = entry
    heappush(queue.heaps.setdefault(entry.op.pool, []), (urgency(entry.op, now_ms), queue.number, entry))
    wait_s = max(0, entry.until_ms - now_ms) / 1000
    entry.timer = call_later(wait_s, expire, queue, entry)


def expire(queue, entry):
    """Refuse an entry whose deadline passed without a free slot."""
    reject(queue, entry.op.attempt)


def reject(queue, attempt):
    """Remove the entry of an attempt and refuse it; does nothing if the attempt is not queued."""
    entry = remove(queue, attempt)
    if entry is not None:
        entry.refuse(NoCapacity(RETRY_MS))


def remove(queue, attempt):
    """Remove the entry of an attempt without a reply. Returns the entry, or None if there is none."""
    entry = queue.queued.pop(attempt, None)
    if entry is not None:
        entry.is_removed = True
        if entry.timer is not None and entry.timer.active():
            entry.timer.cancel()
    return entry


def dispatch(queue, program_ledger):
    """Submit the most urgent entries, as many as slots are free beyond those that undecided operations may take."""
    for pool in list(queue.heaps):
        heap = queue.heaps[pool]
        while heap:
            entry = heap[0][2]
            if entry.is_removed:
                heappop(heap)
                continue
            if should_queue(queue, program_ledger, entry.op):
                break
            heappop(heap)
            remove(queue, entry.op.attempt)
            entry.submit(entry)
        if not heap:
            del queue.heaps[pool]


def should_queue(queue, program_ledger, op):
    """Whether a free slot is all that this BeginAttempt lacks."""
    reserved = queue.undecided.get(op.pool, 0)
    if reserved == 0 and not is_waiting_for_slot(program_ledger, op):
        return False
    return free_slots(program_ledger, op.candidates) <= reserved


def on_submitted(queue, op):
    """Count a submitted BeginAttempt, which may take a slot when it is decided."""
    queue.undecided[op.pool] = queue.undecided.get(op.pool, 0) + 1


def on_decided(queue, op):
    """Stop counting a BeginAttempt that was decided or failed."""
    remaining = queue.undecided.pop(op.pool, 1) - 1
    if remaining > 0:
        queue.undecided[op.pool] = remaining
