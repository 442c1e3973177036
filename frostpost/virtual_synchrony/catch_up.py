"""Catch-up of a replica that lacks entries of the primary, from the log or a snapshot of another member."""

from . import delivery, primary_component
from .batching import leading_batch
from .events import SnapshotInstalled, SnapshotReceived, SnapshotRecord, SnapshotRequested
from .members import member_names
from .messages import EntriesReply, EntriesRequest
from .state import NEVER_MS, increment_counter, write_record


def first_missing_index(synchrony):
    """Return the first index of the primary's history that this member lacks; 0 if it lacks none."""
    primary = synchrony.primary
    if not primary.eligible:
        return 0
    if synchrony.has_log:
        if primary.ready_record_number >= 0:
            return 0
        return synchrony.log.length + 1 if primary.log_matches else synchrony.log.commit_index + 1
    return synchrony.applied + 1 if synchrony.applied < primary.base else 0


def request_missing(synchrony, out):
    """Request the missing entries or the rest of a snapshot from a ready member, or else from the donor."""
    first_missing = first_missing_index(synchrony)
    if (
        not first_missing
        or synchrony.recovery
        or synchrony.primary.loading_snapshot
        or synchrony.primary.donor == synchrony.name
    ):
        return
    if synchrony.now_ms - synchrony.primary.last_fetch_ms < synchrony.bounds.resend_ms:
        return
    synchrony.primary.last_fetch_ms = synchrony.now_ms
    if synchrony.has_log and synchrony.applied > synchrony.primary.base:
        request_own_snapshot(synchrony, out)
        return
    ready = sorted(
        name
        for name in member_names(synchrony.configuration)
        if name in synchrony.peers
        and synchrony.peers[name].ready
        and synchrony.peers[name].configuration == synchrony.configuration.id
    )
    if synchrony.primary.fetch_source not in ready:
        position = sum(synchrony.name.encode()) % len(ready) if ready else 0
        synchrony.primary.fetch_source = ready[position] if ready else synchrony.primary.donor
        synchrony.primary.snapshot_buffer = bytearray()
    out.sends.append(
        (
            synchrony.primary.fetch_source,
            EntriesRequest(synchrony.configuration.id, first_missing, len(synchrony.primary.snapshot_buffer)),
        )
    )


def request_own_snapshot(synchrony, out):
    """Rebuild the log from this member's own state.

    The applied state covers all entries that the log lacks; another member's snapshot would already be outdated under
    load.
    """
    synchrony.primary.loading_snapshot = True
    out.notifications.append(SnapshotRequested(synchrony.name, synchrony.configuration.id, 0))


def on_entries_request(synchrony, out, sender_name, message):
    """Reply with entries of the log, or request a snapshot for the sender if the log starts after them."""
    log, primary = synchrony.log, synchrony.primary
    if message.id != synchrony.configuration.id or primary.ready_record_number < 0:
        return
    if message.first <= log.snapshot_index or message.offset:
        out.notifications.append(SnapshotRequested(sender_name, message.id, message.offset))
        return
    start, stop = message.first - log.snapshot_index - 1, primary.base - log.snapshot_index
    entries = leading_batch(log.entries[start : min(stop, start + synchrony.bounds.batch)], synchrony.bounds)
    out.sends.append((sender_name, EntriesReply(message.id, entries)))


def on_entries_reply(synchrony, out, sender_name, message):
    """Append fetched entries to the log, or apply them if the role keeps no log."""
    primary, log = synchrony.primary, synchrony.log
    if message.id != synchrony.configuration.id or not first_missing_index(synchrony):
        return
    increment_counter(synchrony, "filled", len(message.entries))
    if synchrony.has_log:
        delivery.append_fetched_to_log(synchrony, out, message.entries)
        if not primary.log_matches:
            last_index = message.entries[-1].index if message.entries else primary.base
            log.truncate(last_index)
            primary.log_matches = True
        if log.length >= primary.base:
            primary_component.become_ready(synchrony, out)
    else:
        for entry in message.entries:
            if entry.index > synchrony.applied:
                synchrony.pending_entries[entry.index] = entry
        delivery.apply_pending(synchrony, out)
    primary.last_fetch_ms = NEVER_MS
    request_missing(synchrony, out)


def on_snapshot_chunk(synchrony, out, sender_name, message):
    """Collect a snapshot; the next chunk is requested at the rate given by `refill_bytes_s`."""
    primary = synchrony.primary
    if message.id != synchrony.configuration.id or primary.loading_snapshot or not first_missing_index(synchrony):
        return
    if message.index != primary.snapshot_buffer_index or message.offset == 0:
        primary.snapshot_buffer, primary.snapshot_buffer_index = bytearray(), message.index
    if message.offset != len(primary.snapshot_buffer):
        return
    primary.snapshot_buffer += message.data
    wait_ms = synchrony.bounds.piece_bytes * 1000 // synchrony.bounds.refill_bytes_s
    primary.last_fetch_ms = synchrony.now_ms - synchrony.bounds.resend_ms + wait_ms
    if len(primary.snapshot_buffer) >= message.total:
        state, primary.snapshot_buffer = bytes(primary.snapshot_buffer), bytearray()
        primary.loading_snapshot = True
        out.notifications.append(SnapshotReceived(message.id, message.index, state, message.digest))
    request_missing(synchrony, out)


def install_snapshot(synchrony, out, index, state):
    """Replace the state and the log by a snapshot whose state the daemon has decoded."""
    log, primary = synchrony.log, synchrony.primary
    if index < synchrony.applied:
        return
    increment_counter(synchrony, "refilled")
    synchrony.applied = log.commit_index = index
    out.notifications.append(SnapshotInstalled(index, state))
    if index > primary.base and not primary.opened:
        delivery.on_primary_opened(synchrony)
    synchrony.pending_entries = {
        pending_index: entry for pending_index, entry in synchrony.pending_entries.items() if pending_index > index
    }
    if synchrony.has_log:
        log.replace(index, len(state))
        primary.log_matches = True
        write_record(synchrony, out, SnapshotRecord(index, state))
        if index >= primary.base:
            primary_component.become_ready(synchrony, out)
    delivery.apply_pending(synchrony, out)
