"""Taking snapshots of the ledger and loading them, a slice at a time, between which the event loop goes on.

While one is taken nothing is applied: entries wait in the synchrony, leases and acknowledgements go on. While one is
loaded the member holds no lease, since nothing that the snapshot brings counts before it is whole.
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

from .snapshot_state import Loading, Snapshots, Taken, Taking, load, take

# A snapshot that nobody fetches any more is dropped after this many times `detect_ms`.
IDLE_RATIO = 10
# After a snapshot the next one for the log waits this many times as long as it took: entries are applied meanwhile.
REST_RATIO = 4


def advance(core, out) -> None:
    """Do one slice of what is under way, and what follows from its end."""
    if core.snapshots.loading is not None:
        advance_loading(core, out)
    elif core.snapshots.taking is not None:
        advance_taking(core, out)
        if not core.synchrony.apply_paused:
            delivery.apply_pending(core.synchrony, out)
    elif is_idle(core):
        core.snapshots.served = None


def give_way(core, out) -> None:
    """A configuration that only waits to be opened is opened first; the snapshot is begun anew after that."""
    primary, held = core.synchrony.primary, core.snapshots
    if held.taking is not None and primary.open_committed and not primary.opened:
        held.taking, core.synchrony.apply_paused = None, False
        delivery.apply_pending(core.synchrony, out)


def is_idle(core):
    """Tell whether the snapshot held for peers was not asked for of late."""
    served, synchrony = core.snapshots.served, core.synchrony
    idle_ms = IDLE_RATIO * synchrony.bounds.detect_ms
    return served is not None and synchrony.now_ms - served.asked_ms > idle_ms


def begin_taking(core, out, for_log):
    """Begin to encode the ledger, for the log or for peers."""
    synchrony = core.synchrony
    work = take(core.ledger, synchrony.bounds.slice_records)
    core.snapshots.taking = Taking(synchrony.applied, work, for_log, synchrony.now_ms)
    synchrony.apply_paused = True
    advance_taking(core, out)


def advance_taking(core, out):
    """Encode one more slice of the ledger."""
    taking = core.snapshots.taking
    try:
        next(taking.work)
    except StopIteration as done:
        core.synchrony.apply_paused, core.snapshots.taking = False, None
        now_ms = core.synchrony.now_ms
        core.snapshots.rests_until_ms = now_ms + REST_RATIO * (now_ms - taking.began_ms)
        state, digest = done.value
        finish_taking(core, out, Taken(taking.index, state, digest, now_ms), taking.for_log)


def finish_taking(core, out, taken, for_log):
    """Hold the encoded snapshot, or write it to the log."""
    held = core.snapshots
    if for_log:
        held.for_log = taken
    if held.askers or not for_log:
        held.served = taken
    askers, held.askers = held.askers, {}
    for asked in askers.values():
        if asked.to == core.synchrony.name:
            log_own(core, out, asked, taken)
        else:
            send_piece(core, out, asked)


def log_own(core, out, asked, taken):
    """This member's log lacks what its state has: it begins anew with the state."""
    synchrony = core.synchrony
    if asked.id != synchrony.configuration.id:
        return
    synchrony.primary.loading_snapshot = False
    if taken.index == synchrony.applied and catch_up.first_missing_index(synchrony):
        catch_up.install_snapshot(synchrony, out, taken.index, taken.state)


def is_usable(core):
    """Whether a member that loads the snapshot can get all entries after it.

    It has those of this configuration by itself, and those before it from the log.
    """
    served, synchrony = core.snapshots.served, core.synchrony
    return served is not None and served.index >= min(synchrony.primary.base, synchrony.log.snapshot_index)


def asked(core, out, asked: SnapshotRequested) -> None:
    """A member asks for a piece of a snapshot: all that ask in one configuration get the same one."""
    if asked.to != core.synchrony.name and is_usable(core):
        send_piece(core, out, asked)
        return
    core.snapshots.askers[asked.to] = asked
    if core.snapshots.taking is None:
        begin_taking(core, out, for_log=False)


def send_piece(core, out, asked):
    """Send a peer a piece of the snapshot, or begin to take one."""
    served, synchrony = core.snapshots.served, core.synchrony
    if asked.id != synchrony.configuration.id:
        return
    served.asked_ms = synchrony.now_ms
    data = served.state[asked.offset : asked.offset + synchrony.bounds.piece_bytes]
    out.sends.append(
        (asked.to, SnapshotChunk(asked.id, served.index, asked.offset, len(served.state), served.digest, data))
    )


def received(core, out, received: SnapshotReceived) -> None:
    """All pieces of a snapshot are here."""
    core.snapshots.loading = Loading(received, load(received))
    advance_loading(core, out)


def advance_loading(core, out):
    """Decode one more slice of a fetched snapshot."""
    loading = core.snapshots.loading
    try:
        next(loading.work)
    except StopIteration as done:
        core.snapshots.loading = None
        finish_loading(core, out, loading.received, done.value)


def finish_loading(core, out, received, ledger):
    """Take the ledger over, if it still is what this member lacks."""
    synchrony = core.synchrony
    current = received.id == synchrony.configuration.id
    if current:
        synchrony.primary.loading_snapshot = False
    fits = received.index >= synchrony.applied and (current or received.index <= synchrony.primary.base)
    if ledger is None or not fits or not catch_up.first_missing_index(synchrony):
        synchronies.increment_counter(synchrony, "snapshots_dropped")
        return
    core.ledger, core.snapshots = ledger, Snapshots()
    synchrony.apply_paused = False
    catch_up.install_snapshot(synchrony, out, received.index, received.state)


def rewrite(core, out) -> None:
    """Replace the log by a snapshot and the entries after it, when enough entries have been settled."""
    synchrony, held = core.synchrony, core.snapshots
    if held.askers and held.taking is None:
        begin_taking(core, out, for_log=False)
    rested = synchrony.now_ms >= held.rests_until_ms
    if held.for_log is None and not held.busy and rested and is_due(synchrony):
        begin_taking(core, out, for_log=True)
    if held.for_log is None or synchrony.recovery is not None:
        return
    taken, held.for_log = held.for_log, None
    if synchrony.log.snapshot_index < taken.index <= synchrony.log.length:
        write_snapshot(synchrony, out, taken)


def is_due(synchrony):
    """Tell whether enough entries were applied for the log to be rewritten."""
    settled = synchrony.applied - synchrony.log.snapshot_index
    if not synchrony.has_log or not synchrony.primary.ready or settled < synchrony.bounds.rewrite_entries:
        return False
    return synchrony.primary.opened and synchrony.recovery is None and synchrony.applied <= synchrony.log.length


def write_snapshot(synchrony, out, taken):
    """Replace the log by a snapshot and the entries after it."""
    log = synchrony.log
    tail = log.entries[taken.index - log.snapshot_index :]
    log.snapshot_index, log.entries, log.commit_index = taken.index, tail, max(log.commit_index, taken.index)
    synchrony.written_count += 1
    synchronies.increment_counter(synchrony, "rewrites")
    records = (
        PromiseRecord(synchrony.local_member.incarnation, log.epoch),
        SnapshotRecord(log.snapshot_index, taken.state),
        ConfigurationRecord(log.primary, log.base, log.voters),
        *(EntryRecord(e, log.snapshot_index) for e in tail),
    )
    out.writes.append(RewriteLog(records))
