"""The durable log of a voter or learner, rebuilt from its records."""

from msgspec import Struct, msgpack

from .batching import entry_bytes
from .configuration import ConfigurationId, DurableState, Entry
from .events import ConfigurationRecord, EntryRecord, PromiseRecord, SetVoters, SnapshotRecord

NO_CONFIGURATION = ConfigurationId(0, "", 0)
decode_set_voters = msgpack.Decoder(SetVoters).decode
SET_VOTERS_PREFIX = msgpack.encode(SetVoters(ConfigurationId(0, "", 0), (), ()))[:8]


class DurableLog(Struct):
    """Contents of the log, including records that are written and not yet synced.

    primary, base: the primary component that the log belongs to, and the index after which it continues.
    snapshot_index: last index covered by the snapshot, of `snapshot_bytes`; the entries follow it, `entries_bytes` in
    all. epoch: highest epoch promised or started. commit_index: entries up to this index are committed. The entries are
    changed by the methods only.
    """

    primary: ConfigurationId = NO_CONFIGURATION
    base: int = 0
    snapshot_index: int = 0
    entries: list[Entry] = []
    voters: tuple[str, ...] = ()
    epoch: int = 0
    incarnation: int = 0
    commit_index: int = 0
    snapshot: bytes = b""
    snapshot_bytes: int = 0
    entries_bytes: int = 0

    @property
    def length(self):
        """Index of the last entry."""
        return self.snapshot_index + len(self.entries)

    def append(self, entry):
        """Append an entry after the last one."""
        self.entries.append(entry)
        self.entries_bytes += entry_bytes(entry)

    def truncate(self, last_index):
        """Remove the entries after this index."""
        count = max(0, last_index - self.snapshot_index)
        self.entries_bytes -= sum(entry_bytes(entry) for entry in self.entries[count:])
        del self.entries[count:]

    def compact(self, snapshot_index, snapshot_bytes):
        """Replace the entries up to an index by a snapshot of this size."""
        self.entries = self.entries[max(0, snapshot_index - self.snapshot_index) :]
        self.entries_bytes = sum(entry_bytes(entry) for entry in self.entries)
        self.snapshot_index, self.snapshot_bytes = snapshot_index, snapshot_bytes
        self.commit_index = max(self.commit_index, snapshot_index)

    def replace(self, snapshot_index, snapshot_bytes):
        """Replace all entries by a snapshot of this size."""
        self.snapshot_index, self.snapshot_bytes = snapshot_index, snapshot_bytes
        self.entries, self.entries_bytes = [], 0


def replay(records):
    """Return the log that results from replaying the records in order."""
    log = DurableLog()
    for record in records:
        replay_record(log, record)
    return log


def replay_record(log, record):
    """Apply one record to the log."""
    match record:
        case PromiseRecord(incarnation, epoch):
            log.incarnation, log.epoch = max(log.incarnation, incarnation), max(log.epoch, epoch)
        case SnapshotRecord(index, state):
            log.replace(index, len(state))
            log.snapshot, log.commit_index = state, max(log.commit_index, index)
        case ConfigurationRecord(id, base, voters):
            log.primary, log.base, log.voters = id, base, voters
            log.epoch = max(log.epoch, id.epoch)
            log.truncate(base)
        case EntryRecord(entry, commit_index):
            log.truncate(entry.index - 1)
            if entry.index == log.length + 1:
                log.append(entry)
            log.commit_index = max(log.commit_index, min(commit_index, log.length))


def durable_state_of(log):
    """Return the log's summary for a recovery; None if the log never belonged to a primary."""
    if log.primary == NO_CONFIGURATION:
        return None
    return DurableState(log.primary, log.length, log.voters, uncommitted_voters(log))


def uncommitted_voters(log):
    """Return the sets of voters requested by uncommitted entries of the log."""
    return voters_in(log.entries[max(0, log.commit_index - log.snapshot_index) :])


def voters_in(entries):
    """Return the sets of voters requested by SetVoters operations among the entries."""
    return tuple(decode_set_voters(entry.payload).after for entry in entries if entry.payload[:8] == SET_VOTERS_PREFIX)


def pending_voters(plan, donor_state):
    """Return the sets of voters requested by uncommitted entries of the donor and of members from its primary.

    All of these members count, since any of them may be the only one that holds such an entry.
    """
    requested = [
        voters
        for exchange in plan.values()
        if exchange.last_configuration == donor_state.primary
        for voters in exchange.pending_voters
    ]
    return tuple(dict.fromkeys((*donor_state.pending_voters, *requested)))
