"""Turns that wait at the leader until a runner has a slot.

A BeginAttempt that finds no slot changes nothing in the ledger, so it need not be ordered to be refused. The leader
keeps it, the most urgent first, and submits it once a slot is free; agents need not ask again, and what waits for the
same runners waits in one place, where urgency can be compared. The queue is soft state: agents send what is undecided
again after a change of leader, and the new leader builds its own.
"""

from collections.abc import Callable
from heapq import heappop, heappush

from msgspec import Struct

from frostpost.program_ledger.messages import NoCapacity
from frostpost.program_ledger.placement import free_slots
from frostpost.program_ledger.turns import is_waiting_for_slot

# Begins that may wait at a time; more are refused at once.
MOST_WAITING = 2048
RETRY_MS = 20


class WaitingBegin(Struct, eq=False):
    """A BeginAttempt without a slot. until_ms: when its wait ends, on the leader's clock; timer: ends it then.

    submit(waiting) puts it to the order; refuse(result) answers the agent that nothing was begun.
    """

    op: object
    until_ms: int
    submit: Callable
    refuse: Callable
    timer: object = None
    is_removed: bool = False


class AdmissionQueue(Struct):
    """Owned by a replica; only its event loop changes it.

    heaps: who waits, by pool, as (urgency, number, WaitingBegin); those that are over stay until they come up.
    waiting: the same, by attempt. undecided: how many begins of each pool are submitted and not decided.
    """

    heaps: dict[str, list[tuple[tuple[bool, int, int], int, WaitingBegin]]] = {}
    waiting: dict[str, WaitingBegin] = {}
    undecided: dict[str, int] = {}
    number: int = 0


def urgency(op, now_ms):
    """Sort key: what can still end by its program's deadline first, then by rank, then by the earlier deadline."""
    return op.deadline_in_ms < 0, op.rank, now_ms + op.deadline_in_ms


def enqueue(queue, waiting, now_ms, call_later):
    """Take a begin in, to wait until its time is over; refused at once where too many wait."""
    if len(queue.waiting) >= MOST_WAITING:
        waiting.refuse(NoCapacity(RETRY_MS))
        return
    queue.number += 1
    queue.waiting[waiting.op.attempt] = waiting
    heappush(queue.heaps.setdefault(waiting.op.pool, []), (urgency(waiting.op, now_ms), queue.number, waiting))
    wait_s = max(0, waiting.until_ms - now_ms) / 1000
    waiting.timer = call_later(wait_s, expire, queue, waiting)


def expire(queue, waiting):
    """The wait of a begin is over without a slot."""
    give_up(queue, waiting.op.attempt)


def give_up(queue, attempt):
    """Refuse a begin if it waits here."""
    waiting = remove(queue, attempt)
    if waiting is not None:
        waiting.refuse(NoCapacity(RETRY_MS))


def remove(queue, attempt):
    """Take a begin out without an answer. -> it, or None"""
    waiting = queue.waiting.pop(attempt, None)
    if waiting is not None:
        waiting.is_removed = True
        if waiting.timer is not None and waiting.timer.active():
            waiting.timer.cancel()
    return waiting


def dispatch(queue, program_ledger):
    """Submit the most urgent ones for which slots are free beyond those that are about to be taken."""
    for pool in list(queue.heaps):
        heap = queue.heaps[pool]
        while heap:
            waiting = heap[0][2]
            if waiting.is_removed:
                heappop(heap)
                continue
            if may_wait(queue, program_ledger, waiting.op):
                break
            heappop(heap)
            remove(queue, waiting.op.attempt)
            waiting.submit(waiting)
        if not heap:
            del queue.heaps[pool]


def may_wait(queue, program_ledger, op):
    """Whether a begin can't be decided now but for want of a slot."""
    taken = queue.undecided.get(op.pool, 0)
    if taken == 0 and not is_waiting_for_slot(program_ledger, op):
        return False
    return free_slots(program_ledger, op.candidates) <= taken


def on_submitted(queue, op):
    """A begin has been submitted: it may take a slot once it is decided."""
    queue.undecided[op.pool] = queue.undecided.get(op.pool, 0) + 1


def on_decided(queue, op):
    """A begin that was submitted has been decided, or given up."""
    left = queue.undecided.pop(op.pool, 1) - 1
    if left > 0:
        queue.undecided[op.pool] = left
