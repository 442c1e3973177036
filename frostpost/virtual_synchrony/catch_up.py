"""A replica that lacks entries of a primary: it fetches them, or a snapshot, from a member that has them."""

from . import delivery, primary_component
from .events import SnapshotInstalled, SnapshotReceived, SnapshotRecord, SnapshotRequested
from .members import member_names
from .messages import EntriesReply, EntriesRequest
from .state import NEVER_MS, increment_counter, write_record


def first_missing_index(synchrony):
    """The first index that this member lacks of the primary's history; 0 if it lacks none."""
    primary = synchrony.primary
    if not primary.eligible:
        return 0
    if synchrony.has_log:
        if primary.ready_record_number >= 0:
            return 0
        return synchrony.log.length + 1 if primary.log_matches else synchrony.log.commit_index + 1
    return synchrony.applied + 1 if synchrony.applied < primary.base else 0


def request_missing(synchrony, out):
    """Ask a ready member, else the donor, for the missing entries or the rest of a snapshot."""
    first = first_missing_index(synchrony)
    if (
        not first
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
        n
        for n in member_names(synchrony.configuration)
        if n in synchrony.peers
        and synchrony.peers[n].ready
        and synchrony.peers[n].configuration == synchrony.configuration.id
    )
    if synchrony.primary.fetch_source not in ready:
        spot = sum(synchrony.name.encode()) % len(ready) if ready else 0
        synchrony.primary.fetch_source = ready[spot] if ready else synchrony.primary.donor
        synchrony.primary.snapshot_buffer = bytearray()
    out.sends.append(
        (
            synchrony.primary.fetch_source,
            EntriesRequest(synchrony.configuration.id, first, len(synchrony.primary.snapshot_buffer)),
        )
    )


def request_own_snapshot(synchrony, out):
    """All that this member's log lacks is in its state: a snapshot of another would be behind it under traffic."""
    synchrony.primary.loading_snapshot = True
    out.notifications.append(SnapshotRequested(synchrony.name, synchrony.configuration.id, 0))


def on_entries_request(synchrony, out, sender_name, message):
    """Answer with entries of the log, or have a snapshot sent where the log begins later."""
    log, primary = synchrony.log, synchrony.primary
    if message.id != synchrony.configuration.id or primary.ready_record_number < 0:
        return
    if message.first <= log.snapshot_index or message.offset:
        out.notifications.append(SnapshotRequested(sender_name, message.id, message.offset))
        return
    entries = log.entries[message.first - log.snapshot_index - 1 : primary.base - log.snapshot_index]
    out.sends.append((sender_name, EntriesReply(message.id, tuple(entries[: synchrony.bounds.batch]))))


def on_entries_reply(synchrony, out, sender_name, message):
    """Take fetched entries into the log, or apply them where the role keeps none."""
    primary, log = synchrony.primary, synchrony.log
    if message.id != synchrony.configuration.id or not first_missing_index(synchrony):
        return
    increment_counter(synchrony, "filled", len(message.entries))
    if synchrony.has_log:
        delivery.append_fetched_to_log(synchrony, out, message.entries)
        if not primary.log_matches:
            last = message.entries[-1].index if message.entries else primary.base
            del log.entries[max(0, last - log.snapshot_index) :]
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
    """Collect a snapshot; the next chunk is asked for at the pace of `refill_bytes_s`."""
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
    """Replace the state and the log by a snapshot, once the shell has decoded its state."""
    log, primary = synchrony.log, synchrony.primary
    if index < synchrony.applied:
        return
    increment_counter(synchrony, "refilled")
    synchrony.applied = log.commit_index = index
    out.notifications.append(SnapshotInstalled(index, state))
    if index > primary.base and not primary.opened:
        delivery.on_primary_opened(synchrony)
    synchrony.pending_entries = {i: e for i, e in synchrony.pending_entries.items() if i > index}
    if synchrony.has_log:
        log.snapshot_index, log.entries, primary.log_matches = index, [], True
        write_record(synchrony, out, SnapshotRecord(index, state))
        if index >= primary.base:
            primary_component.become_ready(synchrony, out)
    delivery.apply_pending(synchrony, out)
