"""Inputs of the protocol, the records it writes to its log, and its notifications to the daemon."""

from msgspec import Struct

from .configuration import Configuration, ConfigurationId, Entry
from .endpoints import Endpoint, Member
from .frames import Message


class SetVoters(Struct, frozen=True, array_like=True, tag="voters"):
    """An operation: change the voters from `before` to `after`; valid in this configuration only."""

    configuration: ConfigurationId
    before: tuple[str, ...]
    after: tuple[str, ...]


class ConfigurationRecord(Struct, frozen=True, array_like=True, tag=1):
    """Binds the log to this primary, which continues the order after index `base`."""

    id: ConfigurationId
    base: int
    voters: tuple[str, ...]


class EntryRecord(Struct, frozen=True, array_like=True, tag=2):
    """An entry, and the commit index at the time of writing."""

    entry: Entry
    commit_index: int


class SnapshotRecord(Struct, frozen=True, array_like=True, tag=3):
    """The state after all entries up to `index`; replaces these entries in the log."""

    index: int
    state: bytes


class OpenPrimary(Struct, frozen=True, array_like=True, tag="open"):
    """The operation that the sequencer orders first in a primary.

    members: members of the configuration. cores: names of those with role core. voters: voters of the primary.
    """

    members: tuple[Member, ...]
    cores: tuple[str, ...]
    voters: tuple[str, ...]


class PromiseRecord(Struct, frozen=True, array_like=True, tag=4):
    """The incarnation of the process, and the highest epoch that it has promised or started."""

    incarnation: int
    epoch: int


class ProbeRecord(Struct, frozen=True, array_like=True, tag=5):
    """Tests whether a failed disk accepts writes again; has no effect on the log."""

    number: int


class RewriteLog(Struct, frozen=True, array_like=True, tag=6):
    """Replaces the whole log by these records."""

    records: tuple["Record", ...]


Record = ConfigurationRecord | EntryRecord | SnapshotRecord | PromiseRecord | ProbeRecord
Write = Record | RewriteLog


class TimerTick(Struct, frozen=True, array_like=True, tag=1):
    """A timer tick. now_ms: time by the daemon's monotonic clock, as in all inputs."""

    now_ms: int


class MessageReceived(Struct, frozen=True, array_like=True, tag=2):
    """A message received from another daemon."""

    now_ms: int
    endpoint: Endpoint
    body: Message


class OperationSubmitted(Struct, frozen=True, array_like=True, tag=3):
    """An operation of this daemon. bypasses_window: accept it even if the window is full."""

    now_ms: int
    payload: bytes
    bypasses_window: bool = False


class LogSynced(Struct, frozen=True, array_like=True, tag=4):
    """All records up to number `up_to`, as counted by `Synchrony.written_count`, are synced."""

    now_ms: int
    up_to: int


class DiskHealthChanged(Struct, frozen=True, array_like=True, tag=5):
    """The disk has become too slow or has failed, or has recovered."""

    now_ms: int
    unhealthy: bool


class DrainRequested(Struct, frozen=True, array_like=True, tag=6):
    """The daemon is to leave the membership gracefully."""

    now_ms: int


Input = TimerTick | MessageReceived | OperationSubmitted | LogSynced | DiskHealthChanged | DrainRequested


class ConfigurationChanged(Struct, frozen=True, tag=1):
    """A configuration was installed; a transitional one has the members that come from the previous one."""

    configuration: Configuration
    transitional: bool


class EntryDelivered(Struct, frozen=True, tag=2):
    """An entry was delivered in total order. in_primary: whether it takes effect on the primary's state."""

    entry: Entry
    transitional: bool
    in_primary: bool


class EntryApplied(Struct, frozen=True, tag=3):
    """All earlier entries are applied; the state machine applies this one now."""

    entry: Entry


class SnapshotInstalled(Struct, frozen=True, tag=4):
    """The state machine was replaced by a snapshot of all entries up to `index`."""

    index: int
    state: bytes


class SnapshotRequested(Struct, frozen=True, tag=5):
    """Member `to` requests a snapshot from byte `offset` on."""

    to: str
    id: ConfigurationId
    offset: int


class SnapshotReceived(Struct, frozen=True, tag=8):
    """All chunks of a snapshot have arrived; `install_snapshot` takes effect once its state is decoded."""

    id: ConfigurationId
    index: int
    state: bytes
    digest: str


class WindowFull(Struct, frozen=True, tag=6):
    """The operation was rejected since the window is full. pending: number of pending operations."""

    pending: int


class OperationNumbered(Struct, frozen=True, tag=7):
    """The operation was accepted under this number, which its entry will carry."""

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
    """Result of one step: messages by receiver, records to write, and notifications, each in order."""

    sends: list[tuple[str, Message]] = []
    writes: list[Write] = []
    notifications: list[Notification] = []
