"""Leases of platform tasks: for each subject at most one daemon may call the platform at a time.

A lease runs on the ledger's clock. Its owner keeps its fencing token for as long as nobody else has owned the subject;
another daemon gets the lease, and a higher token, only once it has run out. What is due is decided here as well: the
counts of a closed usage window and the wanted number of runners, which any later owner then reports alike.
"""

from .state import OrderedCapacity, TaskLease
from .task_messages import (
    SCALING,
    USAGE,
    CapacitySet,
    NothingDue,
    ScalingTask,
    TaskCompleted,
    TaskGranted,
    TaskLeased,
    UsageTask,
    UsageWindowClosed,
)

LEASE_RETENTION_MS = 600000
# Windows that are closed and not reported; the oldest are dropped beyond this number.
MAX_UNREPORTED_WINDOWS = 720


def lease_key(kind, subject):
    """Return the key of a subject's lease."""
    return f"{kind}|{subject}"


def capacity_subject(service, zone):
    """Return the subject of the number of runners of a service in a zone."""
    return f"{service}|{zone}"


def due_task(tasks, kind, subject):
    """Return the oldest task of a subject that is due, or None."""
    if kind == USAGE and tasks.windows:
        window = next(iter(tasks.windows))
        return UsageTask(window, tasks.windows[window])
    if kind == SCALING and subject in tasks.capacities:
        capacity = tasks.capacities[subject]
        if not capacity.reported:
            return ScalingTask(capacity.service, capacity.zone, capacity.desired, capacity.number)
    return None


def due_subjects(tasks):
    """Return the kinds and subjects that have a task due."""
    usage = [(USAGE, "")] if tasks.windows else []
    return usage + [(SCALING, subject) for subject, capacity in tasks.capacities.items() if not capacity.reported]


def lease_of(program_ledger, kind, subject):
    """Return the lease of a subject, or None if it was never owned or has been removed."""
    return program_ledger.tasks.leases.get(lease_key(kind, subject))


def claim(program_ledger, now_ms, op):
    """Give the lease of a subject to a daemon, or extend it; only while the subject has a task due."""
    tasks, key = program_ledger.tasks, lease_key(op.kind, op.subject)
    task = due_task(tasks, op.kind, op.subject)
    if task is None:
        return NothingDue()
    lease = tasks.leases.get(key)
    if lease is not None and lease.owner == op.owner:
        lease.until_ms = max(lease.until_ms, now_ms + op.lease_ms)
        return TaskGranted(lease.fence, task)
    if lease is not None and lease.until_ms > now_ms:
        return TaskLeased(lease.until_ms - now_ms)
    tasks.last_fence += 1
    tasks.leases[key] = TaskLease(op.owner, tasks.last_fence, now_ms + op.lease_ms)
    return TaskGranted(tasks.last_fence, task)


def complete(program_ledger, now_ms, op):
    """Remove a task that its owner has run; without effect for an earlier owner or another task."""
    tasks = program_ledger.tasks
    lease = tasks.leases.get(lease_key(op.kind, op.subject))
    if lease is None or lease.owner != op.owner or lease.fence != op.fence:
        return TaskCompleted()
    if op.kind == USAGE:
        tasks.windows.pop(op.number, None)
    elif op.subject in tasks.capacities and tasks.capacities[op.subject].number == op.number:
        tasks.capacities[op.subject].reported = True
    return TaskCompleted()


def close_window(program_ledger, now_ms, op):
    """Close a usage window with the counts of the first operation that does so; windows close in order."""
    tasks = program_ledger.tasks
    if op.window > tasks.closed_window:
        tasks.closed_window, tasks.windows[op.window] = op.window, op.counts
        while len(tasks.windows) > MAX_UNREPORTED_WINDOWS:
            del tasks.windows[next(iter(tasks.windows))]
    return UsageWindowClosed(op.window, tasks.windows.get(op.window, ()))


def set_capacity(program_ledger, now_ms, op):
    """Record the wanted number of runners of a service in a zone; due for a report if it has changed."""
    tasks, subject = program_ledger.tasks, capacity_subject(op.service, op.zone)
    current = tasks.capacities.get(subject)
    if op.desired < 0:
        tasks.capacities.pop(subject, None)
        return CapacitySet(0)
    if current is None or current.desired != op.desired:
        tasks.last_order += 1
        current = OrderedCapacity(op.service, op.zone, op.desired, tasks.last_order)
        tasks.capacities[subject] = current
    return CapacitySet(current.number)


def expire(program_ledger, now_ms):
    """Remove leases that ran out long ago and have nothing due; the next one gets a higher token all the same."""
    tasks = program_ledger.tasks
    if not tasks.leases:
        return
    due = {lease_key(*subject) for subject in due_subjects(tasks)}
    for key in [k for k, lease in tasks.leases.items() if lease.until_ms + LEASE_RETENTION_MS < now_ms]:
        if key not in due:
            del tasks.leases[key]
