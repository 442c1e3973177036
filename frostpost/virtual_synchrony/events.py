from msgspec import Struct

from .messages import Configuration, ConfigurationId, Endpoint, Entry, Member, Message


class SetVoters(Struct, frozen=True, array_like=True, tag="voters"):
    configuration: ConfigurationId
    before: tuple[str, ...]
    after: tuple[str, ...]


class ConfigurationRecord(Struct, frozen=True, array_like=True, tag=1):
    id: ConfigurationId
    base: int
    voters: tuple[str, ...]


class EntryRecord(Struct, frozen=True, array_like=True, tag=2):
    entry: Entry
    commit_index: int


class SnapshotRecord(Struct, frozen=True, array_like=True, tag=3):
    index: int
    state: bytes


class OpenPrimary(Struct, frozen=True, array_like=True, tag="open"):
    members: tuple[Member, ...]
    cores: tuple[str, ...]
    voters: tuple[str, ...]


class PromiseRecord(Struct, frozen=True, array_like=True, tag=4):
    incarnation: int
    epoch: int


class ProbeRecord(Struct, frozen=True, array_like=True, tag=5):
    number: int


class RewriteLog(Struct, frozen=True, array_like=True, tag=6):
    records: tuple["Record", ...]


Record = ConfigurationRecord | EntryRecord | SnapshotRecord | PromiseRecord | ProbeRecord
Write = Record | RewriteLog


class TimerTick(Struct, frozen=True, array_like=True, tag=1):
    now_ms: int


class MessageReceived(Struct, frozen=True, array_like=True, tag=2):
    now_ms: int
    endpoint: Endpoint
    body: Message


class OperationSubmitted(Struct, frozen=True, array_like=True, tag=3):
    now_ms: int
    payload: bytes
    end: bool = False


class LogSynced(Struct, frozen=True, array_like=True, tag=4):
    now_ms: int
    up_to: int


class DiskHealthChanged(Struct, frozen=True, array_like=True, tag=5):
    now_ms: int
    unhealthy: bool


class DrainRequested(Struct, frozen=True, array_like=True, tag=6):
    now_ms: int


Input = TimerTick | MessageReceived | OperationSubmitted | LogSynced | DiskHealthChanged | DrainRequested


class ConfigurationChanged(Struct, frozen=True, tag=1):
    configuration: Configuration
    transitional: bool


class EntryDelivered(Struct, frozen=True, tag=2):
    entry: Entry
    transitional: bool
    in_primary: bool


class EntryApplied(Struct, frozen=True, tag=3):
    entry: Entry


class SnapshotInstalled(Struct, frozen=True, tag=4):
    index: int
    state: bytes


class SnapshotRequested(Struct, frozen=True, tag=5):
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
    pending: int


class OperationNumbered(Struct, frozen=True, tag=7):
    number: int


Answer = (
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
    sends: list[tuple[str, Message]] = []
    writes: list[Write] = []
    answers: list[Answer] = []
