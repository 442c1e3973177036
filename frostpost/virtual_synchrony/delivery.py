"""Delivered entries applied in order of the log, and the records that a voter writes of them."""

from .events import EntryApplied, EntryRecord
from .state import write


def record(synchrony, out, entry):
    if entry.index == synchrony.log.length + 1:
        synchrony.log.entries.append(entry)
        write(synchrony, out, EntryRecord(entry, synchrony.log.settled))


def relog(synchrony, out, entries):
    log = synchrony.log
    for entry in entries:
        at = entry.index - log.start - 1
        if at < 0 or entry.index > log.length + 1:
            continue
        if at < len(log.entries) and log.entries[at].configuration == entry.configuration:
            continue
        del log.entries[at:]
        record(synchrony, out, entry)


def act(synchrony, out, entry):
    if entry.index > synchrony.applied:
        synchrony.waiting[entry.index] = entry
    synchrony.primary.settled = synchrony.primary.settled or entry.ordinal == 1
    drain(synchrony, out)


def drain(synchrony, out):
    log, primary = synchrony.log, synchrony.primary
    if not primary.settled or synchrony.paused or (synchrony.storage and primary.ready_at < 0):
        return
    if synchrony.waiting and synchrony.storage and primary.ready_at >= 0:
        first = min(synchrony.waiting)
        while synchrony.applied + 1 < first and log.start <= synchrony.applied < log.length:
            apply(synchrony, out, log.entries[synchrony.applied - log.start])
    while synchrony.applied + 1 in synchrony.waiting:
        apply(synchrony, out, synchrony.waiting.pop(synchrony.applied + 1))


def apply(synchrony, out, entry):
    synchrony.applied = entry.index
    synchrony.log.settled = max(synchrony.log.settled, min(entry.index, synchrony.log.length))
    out.answers.append(EntryApplied(entry))
    if entry.sender == synchrony.me and entry.number:
        while synchrony.outbox and (first := next(iter(synchrony.outbox))) <= entry.number:
            del synchrony.outbox[first]
            synchrony.outbox_ms = synchrony.now_ms
    if entry.ordinal == 1 and entry.configuration == synchrony.configuration.id:
        unlatch(synchrony)


def unlatch(synchrony):
    synchrony.primary.settled = synchrony.primary.opened = synchrony.changed = True
    synchrony.order.floor = min(synchrony.outbox, default=synchrony.number + 1)
    synchrony.submitted = synchrony.order.floor - 1
