from msgspec import Struct

from .agent_messages import (
    AskRing,
    CharterAsk,
    CharterHeld,
    Directory,
    Grant,
    Hello,
    Renew,
    RoutingAsk,
    RoutingTell,
    SiloDone,
    SiloGet,
    SiloGot,
    SiloPut,
    StatusAsk,
    StatusTell,
    Told,
)
from .endpoints import Member, Place

VERSION = 1
SPEAKS = 3


class ConfigurationId(Struct, frozen=True, array_like=True, order=True):
    epoch: int
    proposer: str
    boot: int


class Configuration(Struct, frozen=True, array_like=True):
    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str


class Entry(Struct, frozen=True, array_like=True):
    configuration: ConfigurationId
    ordinal: int
    index: int
    sender: Member
    number: int
    payload: bytes


class Memory(Struct, frozen=True, array_like=True):
    primary: ConfigurationId
    length: int
    voters: tuple[str, ...]
    coming: tuple[tuple[str, ...], ...]


class Beat(Struct, frozen=True, array_like=True, tag=1):
    configuration: ConfigurationId
    promised: ConfigurationId
    hears: tuple[Member, ...]
    sent_ms: int
    echo_ms: int
    unwell: bool
    ready: bool
    applied: int
    news: dict[str, int]
    serving: bool = False
    last_primary: ConfigurationId = ConfigurationId(0, "", 0)


class Roster(Struct, frozen=True, array_like=True, tag=2):
    places: tuple[Place, ...]
    leaving: bool


class Propose(Struct, frozen=True, array_like=True, tag=3):
    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str


class TurnAway(Struct, frozen=True, array_like=True, tag=4):
    id: ConfigurationId
    promised: ConfigurationId


class Exchange(Struct, frozen=True, array_like=True, tag=5):
    """What a member holds at the start of a recovery. coming: voters asked for by entries that it has not delivered."""

    id: ConfigurationId
    last: ConfigurationId
    top: int
    extra: tuple[int, ...]
    safe: int
    obligations: tuple[Member, ...]
    memory: Memory | None
    applied: int
    voters: tuple[str, ...]
    coming: tuple[tuple[str, ...], ...] = ()


class Plan(Struct, frozen=True, array_like=True, tag=6):
    id: ConfigurationId
    exchanges: dict[str, Exchange]


class Rebroadcast(Struct, frozen=True, array_like=True, tag=7):
    id: ConfigurationId
    entries: tuple[Entry, ...]


class Complete(Struct, frozen=True, array_like=True, tag=8):
    id: ConfigurationId


class Install(Struct, frozen=True, array_like=True, tag=9):
    id: ConfigurationId


class Submit(Struct, frozen=True, array_like=True, tag=10):
    id: ConfigurationId
    floor: int
    first: int
    payloads: tuple[bytes, ...]


class Batch(Struct, frozen=True, array_like=True, tag=11):
    id: ConfigurationId
    entries: tuple[Entry, ...]
    safe: int


class Ack(Struct, frozen=True, array_like=True, tag=12):
    id: ConfigurationId
    top: int


class Safe(Struct, frozen=True, array_like=True, tag=13):
    id: ConfigurationId
    mark: int


class Ready(Struct, frozen=True, array_like=True, tag=14):
    id: ConfigurationId


class Fetch(Struct, frozen=True, array_like=True, tag=15):
    id: ConfigurationId
    first: int
    offset: int


class Fill(Struct, frozen=True, array_like=True, tag=16):
    id: ConfigurationId
    entries: tuple[Entry, ...]


class Piece(Struct, frozen=True, array_like=True, tag=17):
    id: ConfigurationId
    index: int
    offset: int
    total: int
    digest: str
    data: bytes


class BodyAsk(Struct, frozen=True, array_like=True, tag=18):
    digest: str
    offset: int


class BodyPiece(Struct, frozen=True, array_like=True, tag=19):
    digest: str
    offset: int
    total: int
    data: bytes


class NewsAsk(Struct, frozen=True, array_like=True, tag=20):
    vector: dict[str, int]


class NewsTell(Struct, frozen=True, array_like=True, tag=21):
    items: tuple[tuple[str, int, str, int], ...]


Message = (
    Beat
    | Roster
    | Propose
    | TurnAway
    | Exchange
    | Plan
    | Rebroadcast
    | Complete
    | Install
    | Submit
    | Batch
    | Ack
    | Safe
    | Ready
    | Fetch
    | Fill
    | Piece
    | BodyAsk
    | BodyPiece
    | NewsAsk
    | NewsTell
    | Hello
    | Directory
    | Renew
    | Grant
    | AskRing
    | Told
    | RoutingAsk
    | RoutingTell
    | SiloPut
    | SiloDone
    | SiloGet
    | SiloGot
    | StatusAsk
    | StatusTell
    | CharterAsk
    | CharterHeld
)


class Frame(Struct, frozen=True, array_like=True):
    version: int
    place: Place
    to: str
    body: Message
