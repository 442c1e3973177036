"""Delivered entries applied in order of the log, and the records that a voter writes of them."""

from .events import EntryApplied, EntryRecord
from .state import write_record


def append_to_log(synchrony, out, entry):
    """Append the next entry to the log; others are ignored."""
    if entry.index == synchrony.log.length + 1:
        synchrony.log.entries.append(entry)
        write_record(synchrony, out, EntryRecord(entry, synchrony.log.commit_index))


def append_fetched_to_log(synchrony, out, entries):
    """Append fetched entries, replacing those that another primary had left at their place."""
    log = synchrony.log
    for entry in entries:
        at = entry.index - log.snapshot_index - 1
        if at < 0 or entry.index > log.length + 1:
            continue
        if at < len(log.entries) and log.entries[at].configuration == entry.configuration:
            continue
        del log.entries[at:]
        append_to_log(synchrony, out, entry)


def queue_for_apply(synchrony, out, entry):
    """A delivered entry counts in the primary: apply it once all before it are applied."""
    if entry.index > synchrony.applied:
        synchrony.pending_entries[entry.index] = entry
    synchrony.primary.open_committed = synchrony.primary.open_committed or entry.ordinal == 1
    apply_pending(synchrony, out)


def apply_pending(synchrony, out):
    """Apply what follows the last applied entry, from the log or from pending entries.

    Nothing is applied before OpenPrimary is delivered and the log is bound to the primary: a ready replica may else
    lack entries in its log.
    """
    log, primary = synchrony.log, synchrony.primary
    if not primary.open_committed or synchrony.apply_paused or (synchrony.has_log and primary.ready_record_number < 0):
        return
    if synchrony.pending_entries and synchrony.has_log and primary.ready_record_number >= 0:
        first = min(synchrony.pending_entries)
        while synchrony.applied + 1 < first and log.snapshot_index <= synchrony.applied < log.length:
            apply_entry(synchrony, out, log.entries[synchrony.applied - log.snapshot_index])
    while synchrony.applied + 1 in synchrony.pending_entries:
        apply_entry(synchrony, out, synchrony.pending_entries.pop(synchrony.applied + 1))


def apply_entry(synchrony, out, entry):
    """Apply one entry, and drop own operations that are done from the outbox."""
    synchrony.applied = entry.index
    synchrony.log.commit_index = max(synchrony.log.commit_index, min(entry.index, synchrony.log.length))
    out.notifications.append(EntryApplied(entry))
    if entry.sender == synchrony.local_member and entry.number:
        while synchrony.outbox and (first := next(iter(synchrony.outbox))) <= entry.number:
            del synchrony.outbox[first]
            synchrony.outbox_ms = synchrony.now_ms
    if entry.ordinal == 1 and entry.configuration == synchrony.configuration.id:
        on_primary_opened(synchrony)


def on_primary_opened(synchrony):
    """The primary is open: the outbox is last_submitted_number anew to its sequencer."""
    synchrony.primary.open_committed = synchrony.primary.opened = synchrony.peers_changed = True
    synchrony.last_submitted_number = min(synchrony.outbox, default=synchrony.last_operation_number + 1) - 1
