"""Application of delivered entries in log order, and the log records written for them."""

from .events import EntryApplied, EntryRecord
from .outbox import remove_from_outbox
from .state import write_record


def append_to_log(synchrony, out, entry):
    """Append an entry to the log if it is the next one; ignore it otherwise."""
    if entry.index == synchrony.log.length + 1:
        synchrony.log.append(entry)
        write_record(synchrony, out, EntryRecord(entry, synchrony.log.commit_index))


def append_fetched_to_log(synchrony, out, entries):
    """Append fetched entries, replacing conflicting entries of another primary."""
    log = synchrony.log
    for entry in entries:
        position = entry.index - log.snapshot_index - 1
        if position < 0 or entry.index > log.length + 1:
            continue
        if position < len(log.entries) and log.entries[position].configuration == entry.configuration:
            continue
        log.truncate(entry.index - 1)
        append_to_log(synchrony, out, entry)


def queue_for_apply(synchrony, out, entry):
    """Queue an entry delivered in the primary; it is applied once all entries before it are applied."""
    if entry.index > synchrony.applied:
        synchrony.pending_entries[entry.index] = entry
    synchrony.primary.open_committed = synchrony.primary.open_committed or entry.ordinal == 1
    apply_pending(synchrony, out)


def apply_pending(synchrony, out):
    """Apply the entries that follow the last applied one, from the log or from the pending entries.

    Nothing is applied before OpenPrimary is delivered and the log is bound to the primary. Otherwise the log of a ready
    replica could lack applied entries.
    """
    log, primary = synchrony.log, synchrony.primary
    if not primary.open_committed or synchrony.apply_paused or (synchrony.has_log and primary.ready_record_number < 0):
        return
    if synchrony.pending_entries and synchrony.has_log and primary.ready_record_number >= 0:
        first_pending = min(synchrony.pending_entries)
        while synchrony.applied + 1 < first_pending and log.snapshot_index <= synchrony.applied < log.length:
            apply_entry(synchrony, out, log.entries[synchrony.applied - log.snapshot_index])
    while synchrony.applied + 1 in synchrony.pending_entries:
        apply_entry(synchrony, out, synchrony.pending_entries.pop(synchrony.applied + 1))


def apply_entry(synchrony, out, entry):
    """Apply one entry, and remove this member's completed operations from the outbox."""
    synchrony.applied = entry.index
    synchrony.log.commit_index = max(synchrony.log.commit_index, min(entry.index, synchrony.log.length))
    out.notifications.append(EntryApplied(entry))
    if entry.sender == synchrony.local_member and entry.number:
        while synchrony.outbox and (lowest_number := next(iter(synchrony.outbox))) <= entry.number:
            remove_from_outbox(synchrony, lowest_number)
            synchrony.outbox_ms = synchrony.now_ms
    if entry.ordinal == 1 and entry.configuration == synchrony.configuration.id:
        on_primary_opened(synchrony)


def on_primary_opened(synchrony):
    """Mark the primary as open and schedule the outbox for submission to its sequencer."""
    synchrony.primary.open_committed = synchrony.primary.opened = synchrony.peers_changed = True
    synchrony.last_submitted_number = min(synchrony.outbox, default=synchrony.last_operation_number + 1) - 1
