"""The log of a voter or learner as the protocol knows it, read back from its records."""

from msgspec import Struct, msgpack

from .configuration import ConfigurationId, DurableState, Entry
from .events import ConfigurationRecord, EntryRecord, PromiseRecord, SetVoters, SnapshotRecord

NOWHERE = ConfigurationId(0, "", 0)
decode_voters = msgpack.Decoder(SetVoters).decode
VOTERS_HEAD = msgpack.encode(SetVoters(ConfigurationId(0, "", 0), (), ()))[:8]


class DurableLog(Struct):
    """What the records on disk, and those on their way to it, say.

    primary and base: the primary component that the log belongs to, which continues after index `base`. snapshot_index:
    the last index that the snapshot covers; entries follow it. commit_index: entries up to it are committed. epoch: the
    highest that was promised or begun.
    """

    primary: ConfigurationId = NOWHERE
    base: int = 0
    snapshot_index: int = 0
    entries: list[Entry] = []
    voters: tuple[str, ...] = ()
    epoch: int = 0
    incarnation: int = 0
    commit_index: int = 0
    snapshot: bytes = b""

    @property
    def length(self):
        """Index of the last entry."""
        return self.snapshot_index + len(self.entries)


def replay(records):
    """The log that these records make, in order."""
    log = DurableLog()
    for record in records:
        replay_record(log, record)
    return log


def replay_record(log, record):
    """Take one record in."""
    match record:
        case PromiseRecord(incarnation, epoch):
            log.incarnation, log.epoch = max(log.incarnation, incarnation), max(log.epoch, epoch)
        case SnapshotRecord(index, state):
            log.snapshot_index, log.entries, log.snapshot = index, [], state
            log.commit_index = max(log.commit_index, index)
        case ConfigurationRecord(id, base, voters):
            log.primary, log.base, log.voters = id, base, voters
            log.epoch = max(log.epoch, id.epoch)
            del log.entries[max(0, base - log.snapshot_index) :]
        case EntryRecord(entry, settled):
            del log.entries[max(0, entry.index - log.snapshot_index - 1) :]
            if entry.index == log.length + 1:
                log.entries.append(entry)
            log.commit_index = max(log.commit_index, min(settled, log.length))


def durable_state_of(log):
    """What the log holds, as a recovery tells it; None if it never was part of a primary."""
    if log.primary == NOWHERE:
        return None
    return DurableState(log.primary, log.length, log.voters, unsettled_voters(log))


def unsettled_voters(log):
    """Sets of voters that uncommitted entries of the log ask for."""
    return voters_in(log.entries[max(0, log.commit_index - log.snapshot_index) :])


def voters_in(entries):
    """The sets of voters that entries ask for."""
    return tuple(decode_voters(e.payload).after for e in entries if e.payload[:8] == VOTERS_HEAD)


def pending_voters(plan, best):
    """Voters that unsettled entries ask for; any member may be the only one that holds such an entry."""
    said = [voters for e in plan.values() if e.last_configuration == best.primary for voters in e.pending_voters]
    return tuple(dict.fromkeys((*best.pending_voters, *said)))
