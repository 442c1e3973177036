"""Takes and loads snapshots of the ledger in slices, between which the event loop handles other events.

While a snapshot is being taken, no entries are applied; they queue in the synchrony, while leases and acknowledgements
continue. While a snapshot is being loaded, the member holds no lease, since its state is incomplete.
"""

from frostpost.virtual_synchrony import catch_up, delivery
from frostpost.virtual_synchrony import state as synchronies
from frostpost.virtual_synchrony.events import (
    ConfigurationRecord,
    EntryRecord,
    PromiseRecord,
    RewriteLog,
    SnapshotReceived,
    SnapshotRecord,
    SnapshotRequested,
)
from frostpost.virtual_synchrony.messages import SnapshotChunk

from .snapshot_state import (
    EncodedSnapshot,
    SnapshotDecoding,
    SnapshotEncoding,
    Snapshots,
    decode_snapshot,
    encode_snapshot,
)

# A served snapshot is dropped when no chunk of it has been requested for this multiple of `detect_ms`.
IDLE_RATIO = 10
# The size of the entries that makes a compaction due is at most this multiple of `rewrite_bytes`.
MAX_REWRITE_RATIO = 2
# The next snapshot for a compaction waits this multiple of the time that the last one took, so that queued entries can
# be applied.
COMPACTION_REST_RATIO = 4


def advance(core, out) -> None:
    """Process one slice of the snapshot that is being loaded or taken, and complete it after its last slice."""
    if core.snapshots.loading is not None:
        advance_loading(core, out)
    elif core.snapshots.taking is not None:
        advance_taking(core, out)
        if not core.synchrony.apply_paused:
            delivery.apply_pending(core.synchrony, out)
    elif is_served_idle(core):
        core.snapshots.served = None


def abort_for_opening(core, out) -> None:
    """Abort taking a snapshot if the configuration can be opened now; the snapshot is restarted after that."""
    primary, snapshots = core.synchrony.primary, core.snapshots
    if snapshots.taking is not None and primary.open_committed and not primary.opened:
        snapshots.taking, core.synchrony.apply_paused = None, False
        delivery.apply_pending(core.synchrony, out)


def is_served_idle(core):
    """Return whether the snapshot served to peers has not been requested recently."""
    served, synchrony = core.snapshots.served, core.synchrony
    idle_ms = IDLE_RATIO * synchrony.bounds.detect_ms
    return served is not None and synchrony.now_ms - served.last_requested_ms > idle_ms


def start_taking(core, out, for_compaction):
    """Start encoding the ledger, either for a compaction of the log or for peers."""
    synchrony = core.synchrony
    work = encode_snapshot(core.ledger, synchrony.bounds.slice_records)
    core.snapshots.taking = SnapshotEncoding(synchrony.applied, work, for_compaction, synchrony.now_ms)
    synchrony.apply_paused = True
    advance_taking(core, out)


def advance_taking(core, out):
    """Encode one more slice of the ledger."""
    taking = core.snapshots.taking
    try:
        next(taking.work)
    except StopIteration as stop:
        core.synchrony.apply_paused, core.snapshots.taking = False, None
        now_ms = core.synchrony.now_ms
        core.snapshots.compact_after_ms = now_ms + COMPACTION_REST_RATIO * (now_ms - taking.started_ms)
        state, digest = stop.value
        finish_taking(core, out, EncodedSnapshot(taking.index, state, digest, now_ms), taking.for_compaction)


def finish_taking(core, out, encoded, for_compaction):
    """Keep the encoded snapshot for its purpose, and answer the requests that waited for one."""
    snapshots = core.snapshots
    if for_compaction:
        snapshots.for_compaction = encoded
    if snapshots.pending_requests or not for_compaction:
        snapshots.served = encoded
    requests, snapshots.pending_requests = snapshots.pending_requests, {}
    for request in requests.values():
        if request.to == core.synchrony.name:
            install_own_snapshot(core, out, request, encoded)
        else:
            send_chunk(core, out, request)


def install_own_snapshot(core, out, request, encoded):
    """Replace this member's log by its own state, which contains entries that the log lacks."""
    synchrony = core.synchrony
    if request.id != synchrony.configuration.id:
        return
    synchrony.primary.loading_snapshot = False
    if encoded.index == synchrony.applied and catch_up.first_missing_index(synchrony):
        catch_up.install_snapshot(synchrony, out, encoded.index, encoded.state)


def is_usable(core):
    """Return whether a member that loads the served snapshot can obtain all entries after it.

    The member has the entries of the current configuration, and receives earlier ones from the log.
    """
    served, synchrony = core.snapshots.served, core.synchrony
    return served is not None and served.index >= min(synchrony.primary.base, synchrony.log.snapshot_index)


def on_requested(core, out, request: SnapshotRequested) -> None:
    """Answer a member's request for a chunk; all requests in one configuration are served from the same snapshot."""
    if request.to != core.synchrony.name and is_usable(core):
        send_chunk(core, out, request)
        return
    core.snapshots.pending_requests[request.to] = request
    if core.snapshots.taking is None:
        start_taking(core, out, for_compaction=False)


def send_chunk(core, out, request):
    """Send a peer the requested chunk of the served snapshot."""
    served, synchrony = core.snapshots.served, core.synchrony
    if request.id != synchrony.configuration.id:
        return
    served.last_requested_ms = synchrony.now_ms
    data = served.state[request.offset : request.offset + synchrony.bounds.piece_bytes]
    out.sends.append(
        (request.to, SnapshotChunk(request.id, served.index, request.offset, len(served.state), served.digest, data))
    )


def on_received(core, out, received: SnapshotReceived) -> None:
    """Start decoding a snapshot of which all chunks have been received."""
    core.snapshots.loading = SnapshotDecoding(received, decode_snapshot(received))
    advance_loading(core, out)


def advance_loading(core, out):
    """Decode one more slice of a received snapshot."""
    loading = core.snapshots.loading
    try:
        next(loading.work)
    except StopIteration as stop:
        core.snapshots.loading = None
        finish_loading(core, out, loading.received, stop.value)


def finish_loading(core, out, received, ledger):
    """Replace the ledger by the decoded one, if this member still lacks entries that the snapshot contains."""
    synchrony = core.synchrony
    current = received.id == synchrony.configuration.id
    if current:
        synchrony.primary.loading_snapshot = False
    is_applicable = received.index >= synchrony.applied and (current or received.index <= synchrony.primary.base)
    if ledger is None or not is_applicable or not catch_up.first_missing_index(synchrony):
        synchronies.increment_counter(synchrony, "snapshots_dropped")
        return
    core.ledger, core.snapshots = ledger, Snapshots()
    synchrony.apply_paused = False
    catch_up.install_snapshot(synchrony, out, received.index, received.state)


def compact_log(core, out) -> None:
    """Take a snapshot when one is requested or the log is due for compaction, and compact the log when it is ready."""
    synchrony, snapshots = core.synchrony, core.snapshots
    if snapshots.pending_requests and snapshots.taking is None:
        start_taking(core, out, for_compaction=False)
    rested = synchrony.now_ms >= snapshots.compact_after_ms
    if snapshots.for_compaction is None and not snapshots.busy and rested and is_compaction_due(synchrony):
        start_taking(core, out, for_compaction=True)
    if snapshots.for_compaction is None or synchrony.recovery is not None:
        return
    encoded, snapshots.for_compaction = snapshots.for_compaction, None
    if synchrony.log.snapshot_index < encoded.index <= synchrony.log.length:
        write_compacted_log(synchrony, out, encoded)


def is_compaction_due(synchrony):
    """Return whether the log can be compacted, and its entries have reached their bound in number or in bytes."""
    if not synchrony.has_log or not synchrony.primary.ready or not is_log_large(synchrony):
        return False
    return synchrony.primary.opened and synchrony.recovery is None and synchrony.applied <= synchrony.log.length


def is_log_large(synchrony):
    """Return whether the entries since the log's snapshot have reached their bound in number or in bytes.

    The bound in bytes grows with the snapshot, so that a large state isn't rewritten for a few entries, but only up to
    a limit: the log stays within the state and a constant.
    """
    log, bounds = synchrony.log, synchrony.bounds
    applied_count = synchrony.applied - log.snapshot_index
    if applied_count >= bounds.rewrite_entries:
        return True
    due_bytes = min(max(bounds.rewrite_bytes, log.snapshot_bytes), MAX_REWRITE_RATIO * bounds.rewrite_bytes)
    return applied_count > 0 and log.entries_bytes >= due_bytes


def write_compacted_log(synchrony, out, encoded):
    """Replace the log by a snapshot and the entries after it."""
    log = synchrony.log
    log.compact(encoded.index, len(encoded.state))
    synchrony.written_count += 1
    synchronies.increment_counter(synchrony, "rewrites")
    records = (
        PromiseRecord(synchrony.local_member.incarnation, log.epoch),
        SnapshotRecord(log.snapshot_index, encoded.state),
        ConfigurationRecord(log.primary, log.base, log.voters),
        *(EntryRecord(entry, log.snapshot_index) for entry in log.entries),
    )
    out.writes.append(RewriteLog(records))
