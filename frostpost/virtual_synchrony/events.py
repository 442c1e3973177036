from msgspec import Struct

from .messages import Configuration, ConfigurationId, Entry, Member, Message, Place


class SetVoters(Struct, frozen=True, array_like=True, tag="voters"):
    configuration: ConfigurationId
    before: tuple[str, ...]
    after: tuple[str, ...]


class Installed(Struct, frozen=True, array_like=True, tag=1):
    id: ConfigurationId
    base: int
    voters: tuple[str, ...]


class Appended(Struct, frozen=True, array_like=True, tag=2):
    entry: Entry
    settled: int


class Snapshot(Struct, frozen=True, array_like=True, tag=3):
    index: int
    state: bytes


class Open(Struct, frozen=True, array_like=True, tag="open"):
    members: tuple[Member, ...]
    cores: tuple[str, ...]
    voters: tuple[str, ...]


class Booted(Struct, frozen=True, array_like=True, tag=4):
    boot: int
    epoch: int


class Probe(Struct, frozen=True, array_like=True, tag=5):
    number: int


class Rewrite(Struct, frozen=True, array_like=True, tag=6):
    records: tuple["Record", ...]


Record = Installed | Appended | Snapshot | Booted | Probe
Write = Record | Rewrite


class Tick(Struct, frozen=True, array_like=True, tag=1):
    now_ms: int


class Received(Struct, frozen=True, array_like=True, tag=2):
    now_ms: int
    place: Place
    body: Message


class Asked(Struct, frozen=True, array_like=True, tag=3):
    now_ms: int
    payload: bytes
    end: bool = False


class Synced(Struct, frozen=True, array_like=True, tag=4):
    now_ms: int
    up_to: int


class Stalled(Struct, frozen=True, array_like=True, tag=5):
    now_ms: int
    unwell: bool


class Left(Struct, frozen=True, array_like=True, tag=6):
    now_ms: int


Input = Tick | Received | Asked | Synced | Stalled | Left


class Changed(Struct, frozen=True, tag=1):
    configuration: Configuration
    transitional: bool


class Delivered(Struct, frozen=True, tag=2):
    entry: Entry
    transitional: bool
    acted: bool


class Applied(Struct, frozen=True, tag=3):
    entry: Entry


class Filled(Struct, frozen=True, tag=4):
    index: int
    state: bytes


class SnapshotAsked(Struct, frozen=True, tag=5):
    to: str
    id: ConfigurationId
    offset: int


class SnapshotReceived(Struct, frozen=True, tag=8):
    """All pieces of a snapshot are here; `refill` takes it over once its state is decoded."""

    id: ConfigurationId
    index: int
    state: bytes
    digest: str


class Overfull(Struct, frozen=True, tag=6):
    held: int


class Numbered(Struct, frozen=True, tag=7):
    number: int


Answer = Changed | Delivered | Applied | Filled | SnapshotAsked | SnapshotReceived | Overfull | Numbered


class Out(Struct):
    sends: list[tuple[str, Message]] = []
    writes: list[Write] = []
    answers: list[Answer] = []
