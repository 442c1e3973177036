from msgspec import Struct, field

from .events import Booted, Out
from .memory import NOWHERE, Log
from .words import Configuration, ConfigurationId, Entry, Exchange, Member, Place

RANK = {"storage": 0, "core": 1, "edge": 2}


class Bounds(Struct, frozen=True):
    detectMs: int = 500
    proposalMs: int = 500
    leaseMs: int = 1200
    window: int = 256
    held: int = 4096
    batch: int = 256
    pieceBytes: int = 262144
    rewriteEntries: int = 20000
    refillBytesS: int = 16 << 20

    @property
    def beatMs(self):
        return self.detectMs // 5

    @property
    def joinMs(self):
        return self.detectMs // 2

    @property
    def resendMs(self):
        return self.detectMs // 5


class Peer(Struct):
    place: Place
    heardMs: int = -(1 << 40)
    hears: frozenset[Member] = frozenset()
    configuration: ConfigurationId = NOWHERE
    promised: ConfigurationId = NOWHERE
    sentMs: int = 0
    grantedMs: int = -(1 << 40)
    unwell: bool = False
    ready: bool = False
    applied: int = 0
    leaving: bool = False
    shunnedMs: int = -(1 << 40)
    shuns: int = 0
    news: dict[str, int] = {}
    past: frozenset[Member] = frozenset()


class Proposal(Struct):
    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str
    startedMs: int
    sentMs: int
    exchanges: dict[str, Exchange] = {}
    completes: set[str] = set()
    planned: bool = False


class Recovery(Struct):
    id: ConfigurationId
    proposer: str
    members: tuple[Member, ...]
    sequencer: str
    startedMs: int
    sentMs: int
    plan: dict[str, Exchange] | None = None
    group: tuple[Member, ...] = ()
    wanted: frozenset[int] = frozenset()
    owed: dict[str, tuple[int, ...]] = {}
    complete: bool = False
    syncAt: int = -1


class Order(Struct):
    held: dict[int, Entry] = {}
    top: int = 0
    acked: int = 0
    delivered: int = 0
    safe: int = 0
    next: int = 1
    acks: dict[str, int] = {}
    sent: dict[str, int] = {}
    sentMs: dict[str, int] = {}
    seen: dict[Member, int] = {}
    parked: dict[Member, dict[int, bytes]] = {}
    unsent: list[Entry] = []
    fanned: int = 0
    floor: int = 0
    early: list[tuple[str, object]] = []


class Primary(Struct):
    able: bool = False
    donor: str = ""
    base: int = 0
    voters: tuple[str, ...] = ()
    coming: tuple[tuple[str, ...], ...] = ()
    readies: set[str] = set()
    ready: bool = False
    readyAt: int = -1
    same: bool = False
    settled: bool = False
    opened: bool = False
    openOrdered: bool = False
    fetchMs: int = -(1 << 40)
    piece: bytearray = field(default_factory=bytearray)
    pieceIndex: int = -1
    source: str = ""


class Hedge(Struct):
    place: Place
    bounds: Bounds
    seeds: tuple[str, ...]
    voters0: tuple[str, ...]
    storage: bool
    log: Log
    configuration: Configuration
    promised: ConfigurationId
    voters: tuple[str, ...] = ()
    installedMs: int = 0
    peers: dict[str, Peer] = {}
    nowMs: int = 0
    beatMs: int = -(1 << 40)
    rosterMs: int = -(1 << 40)
    desired: tuple[Member, ...] = ()
    desiredMs: int = 0
    obligations: frozenset[Member] = frozenset()
    proposal: Proposal | None = None
    recovery: Recovery | None = None
    order: Order = field(default_factory=Order)
    primary: Primary = field(default_factory=Primary)
    applied: int = 0
    waiting: dict[int, Entry] = {}
    outbox: dict[int, bytes] = {}
    outboxMs: int = 0
    submitted: int = 0
    number: int = 0
    wrote: int = 0
    synced: int = 0
    acksAt: list[tuple[int, int]] = []
    replays: list[tuple[str, object]] = []
    unwell: bool = False
    leaving: bool = False
    counts: dict[str, int] = {}
    news: dict[str, int] = {}

    @property
    def me(self):
        return self.place.member

    @property
    def name(self):
        return self.place.member.name


def count(hedge, what, by=1):
    hedge.counts[what] = hedge.counts.get(what, 0) + by


def write(hedge, out, record):
    if hedge.storage:
        out.writes.append(record)
        hedge.wrote += 1
    return hedge.wrote


def names(configuration):
    return [m.name for m in configuration.members]


def role(hedge, name):
    if name == hedge.name:
        return hedge.place.role
    peer = hedge.peers.get(name)
    return peer.place.role if peer else "edge"


def sequencer(hedge):
    return hedge.configuration.sequencer


def elect(hedge, members):
    held = sorted(m.name for m in members)
    return next((n for n in held if role(hedge, n) == "core"), held[0])


def majority(voters, present):
    return len(voters) > 0 and sum(v in present for v in voters) * 2 > len(voters)


def majorities(primary, present):
    return all(majority(v, present) for v in (primary.voters, *primary.coming))


def begin(place, bounds, seeds, voters, log, nowMs):
    storage = place.role == "storage"
    single = ConfigurationId(log.epoch + 1, place.member.name, place.member.boot)
    hedge = Hedge(
        place=place,
        bounds=bounds,
        seeds=tuple(seeds),
        voters0=tuple(voters),
        storage=storage,
        log=log,
        configuration=Configuration(single, (place.member,), place.member.name),
        promised=single,
        nowMs=nowMs,
        installedMs=nowMs,
        applied=log.settled,
    )
    out = Out()
    write(hedge, out, Booted(place.member.boot, single.epoch))
    return hedge, out
