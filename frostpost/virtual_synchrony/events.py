"""Inputs of the pure core, the records it writes to its log, and the answers it gives to the shell."""

from msgspec import Struct

from .configuration import Configuration, ConfigurationId, Entry
from .endpoints import Endpoint, Member
from .frames import Message


class SetVoters(Struct, frozen=True, array_like=True, tag="voters"):
    """An operation: change the voters from `before` to `after`, valid in this configuration only."""

    configuration: ConfigurationId
    before: tuple[str, ...]
    after: tuple[str, ...]


class ConfigurationRecord(Struct, frozen=True, array_like=True, tag=1):
    """The log belongs to this primary, which continues the order after index `base`."""

    id: ConfigurationId
    base: int
    voters: tuple[str, ...]


class EntryRecord(Struct, frozen=True, array_like=True, tag=2):
    """An entry, and the commit index when it was written."""

    entry: Entry
    commit_index: int


class SnapshotRecord(Struct, frozen=True, array_like=True, tag=3):
    """The state after all entries up to `index`; earlier entries are no longer in the log."""

    index: int
    state: bytes


class OpenPrimary(Struct, frozen=True, array_like=True, tag="open"):
    """An operation that the sequencer orders first in a primary: its members, those of role core, its voters."""

    members: tuple[Member, ...]
    cores: tuple[str, ...]
    voters: tuple[str, ...]


class PromiseRecord(Struct, frozen=True, array_like=True, tag=4):
    """The process's incarnation, and the highest epoch that it has promised or begun."""

    incarnation: int
    epoch: int


class ProbeRecord(Struct, frozen=True, array_like=True, tag=5):
    """Written to find out whether a disk that failed works again; it has no effect."""

    number: int


class RewriteLog(Struct, frozen=True, array_like=True, tag=6):
    """Replace the whole log by these records."""

    records: tuple["Record", ...]


Record = ConfigurationRecord | EntryRecord | SnapshotRecord | PromiseRecord | ProbeRecord
Write = Record | RewriteLog


class TimerTick(Struct, frozen=True, array_like=True, tag=1):
    """Time has passed; now_ms: of the daemon's monotonic clock, as in all inputs."""

    now_ms: int


class MessageReceived(Struct, frozen=True, array_like=True, tag=2):
    """A message from another daemon came in."""

    now_ms: int
    endpoint: Endpoint
    body: Message


class OperationSubmitted(Struct, frozen=True, array_like=True, tag=3):
    """The shell submits an operation. end: it ends something and is taken whatever the window holds."""

    now_ms: int
    payload: bytes
    end: bool = False


class LogSynced(Struct, frozen=True, array_like=True, tag=4):
    """All records up to the one with this number (counted by `Synchrony.written_count`) are on disk."""

    now_ms: int
    up_to: int


class DiskHealthChanged(Struct, frozen=True, array_like=True, tag=5):
    """The disk has become too slow or failing, or well again."""

    now_ms: int
    unhealthy: bool


class DrainRequested(Struct, frozen=True, array_like=True, tag=6):
    """The daemon is to leave the membership in order."""

    now_ms: int


Input = TimerTick | MessageReceived | OperationSubmitted | LogSynced | DiskHealthChanged | DrainRequested


class ConfigurationChanged(Struct, frozen=True, tag=1):
    """A configuration was installed; a transitional one has the members that come from the last one."""

    configuration: Configuration
    transitional: bool


class EntryDelivered(Struct, frozen=True, tag=2):
    """An entry was delivered in total order. in_primary: whether it counts for the primary's state."""

    entry: Entry
    transitional: bool
    in_primary: bool


class EntryApplied(Struct, frozen=True, tag=3):
    """An entry follows all before it: the state machine applies it now."""

    entry: Entry


class SnapshotInstalled(Struct, frozen=True, tag=4):
    """The state machine was replaced by a snapshot of all entries up to `index`."""

    index: int
    state: bytes


class SnapshotRequested(Struct, frozen=True, tag=5):
    """Member `to` wants a snapshot from byte `offset` on."""

    to: str
    id: ConfigurationId
    offset: int


class SnapshotReceived(Struct, frozen=True, tag=8):
    """All pieces of a snapshot are here; `refill` takes it over once its state is decoded."""

    id: ConfigurationId
    index: int
    state: bytes
    digest: str


class WindowFull(Struct, frozen=True, tag=6):
    """The operation was not taken: so many are pending."""

    pending: int


class OperationNumbered(Struct, frozen=True, tag=7):
    """The operation was taken under this number; its entry will bear it."""

    number: int


Notification = (
    ConfigurationChanged
    | EntryDelivered
    | EntryApplied
    | SnapshotInstalled
    | SnapshotRequested
    | SnapshotReceived
    | WindowFull
    | OperationNumbered
)


class Output(Struct):
    """What one step gives to the shell: messages by receiver, records to write, and answers, each in order."""

    sends: list[tuple[str, Message]] = []
    writes: list[Write] = []
    notifications: list[Notification] = []
