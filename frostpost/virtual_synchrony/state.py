from msgspec import Struct, field

from .durable_log import NOWHERE, DurableLog
from .events import Output, PromiseRecord
from .messages import Configuration, ConfigurationId, Endpoint, Entry, Member, RecoveryExchange

RANK = {"storage": 0, "core": 1, "edge": 2}


class Bounds(Struct, frozen=True):
    detect_ms: int = 500
    proposal_ms: int = 500
    lease_ms: int = 1200
    window: int = 256
    held: int = 4096
    batch: int = 256
    piece_bytes: int = 262144
    rewrite_entries: int = 20000
    refill_bytes_s: int = 16 << 20
    slice_records: int = 2000

    @property
    def beat_ms(self):
        return self.detect_ms // 5

    @property
    def join_ms(self):
        return self.detect_ms // 2

    @property
    def resend_ms(self):
        return self.detect_ms // 5


class Peer(Struct):
    place: Endpoint
    heard_ms: int = -(1 << 40)
    hears: frozenset[Member] = frozenset()
    configuration: ConfigurationId = NOWHERE
    promised: ConfigurationId = NOWHERE
    sent_ms: int = 0
    granted_ms: int = -(1 << 40)
    unwell: bool = False
    ready: bool = False
    applied: int = 0
    serving: bool = False
    last_primary: ConfigurationId = NOWHERE
    leaving: bool = False
    shunned_ms: int = -(1 << 40)
    shuns: int = 0
    news: dict[str, int] = {}
    past: frozenset[Member] = frozenset()


class Proposal(Struct):
    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str
    started_ms: int
    sent_ms: int
    exchanges: dict[str, RecoveryExchange] = {}
    completes: set[str] = set()
    planned: bool = False


class Recovery(Struct):
    id: ConfigurationId
    proposer: str
    members: tuple[Member, ...]
    sequencer: str
    started_ms: int
    sent_ms: int
    plan: dict[str, RecoveryExchange] | None = None
    group: tuple[Member, ...] = ()
    wanted: frozenset[int] = frozenset()
    owed: dict[str, tuple[int, ...]] = {}
    complete: bool = False
    sync_at: int = -1


class OrderState(Struct):
    held: dict[int, Entry] = {}
    top: int = 0
    acked: int = 0
    delivered: int = 0
    safe: int = 0
    next: int = 1
    acks: dict[str, int] = {}
    sent: dict[str, int] = {}
    sent_ms: dict[str, int] = {}
    seen: dict[Member, int] = {}
    parked: dict[Member, dict[int, bytes]] = {}
    unsent: list[Entry] = []
    fanned: int = 0
    floor: int = 0
    early: list[tuple[str, object]] = []


class PrimaryState(Struct):
    able: bool = False
    donor: str = ""
    base: int = 0
    voters: tuple[str, ...] = ()
    coming: tuple[tuple[str, ...], ...] = ()
    readies: set[str] = set()
    ready: bool = False
    ready_at: int = -1
    same: bool = False
    settled: bool = False
    opened: bool = False
    open_ordered: bool = False
    fetch_ms: int = -(1 << 40)
    loading: bool = False
    piece: bytearray = field(default_factory=bytearray)
    piece_index: int = -1
    source: str = ""


class Synchrony(Struct):
    place: Endpoint
    bounds: Bounds
    seeds: tuple[str, ...]
    voters0: tuple[str, ...]
    storage: bool
    log: DurableLog
    configuration: Configuration
    promised: ConfigurationId
    voters: tuple[str, ...] = ()
    installed_ms: int = 0
    peers: dict[str, Peer] = {}
    now_ms: int = 0
    beat_ms: int = -(1 << 40)
    roster_ms: int = -(1 << 40)
    roster_places: tuple[Endpoint, ...] = ()
    roster_periods: int = 0
    desired: tuple[Member, ...] = ()
    desired_ms: int = 0
    obligations: frozenset[Member] = frozenset()
    proposal: Proposal | None = None
    recovery: Recovery | None = None
    order: OrderState = field(default_factory=OrderState)
    primary: PrimaryState = field(default_factory=PrimaryState)
    applied: int = 0
    waiting: dict[int, Entry] = {}
    outbox: dict[int, bytes] = {}
    outbox_ms: int = 0
    submitted: int = 0
    number: int = 0
    wrote: int = 0
    synced: int = 0
    acks_at: list[tuple[int, int]] = []
    replays: list[tuple[str, object]] = []
    unwell: bool = False
    leaving: bool = False
    paused: bool = False
    counts: dict[str, int] = {}
    news: dict[str, int] = {}
    changed: bool = True
    ticked_ms: int = -(1 << 40)
    apart: bool = True

    @property
    def me(self):
        return self.place.member

    @property
    def name(self):
        return self.place.member.name


def count(synchrony, what, by=1):
    synchrony.counts[what] = synchrony.counts.get(what, 0) + by


def write(synchrony, out, record):
    if synchrony.storage:
        out.writes.append(record)
        synchrony.wrote += 1
    return synchrony.wrote


def names(configuration):
    return [m.name for m in configuration.members]


def role(synchrony, name):
    if name == synchrony.name:
        return synchrony.place.role
    peer = synchrony.peers.get(name)
    return peer.place.role if peer else "edge"


def sequencer(synchrony):
    return synchrony.configuration.sequencer


def elect(synchrony, members):
    held = sorted(m.name for m in members)
    return next((n for n in held if role(synchrony, n) == "core"), held[0])


def majority(voters, present):
    return len(voters) > 0 and sum(v in present for v in voters) * 2 > len(voters)


def majorities(primary, present):
    return all(majority(v, present) for v in (primary.voters, *primary.coming))


def begin(place, bounds, seeds, voters, log, now_ms):
    storage = place.role == "storage"
    single = ConfigurationId(log.epoch + 1, place.member.name, place.member.boot)
    synchrony = Synchrony(
        place=place,
        bounds=bounds,
        seeds=tuple(seeds),
        voters0=tuple(voters),
        storage=storage,
        log=log,
        configuration=Configuration(single, (place.member,), place.member.name),
        promised=single,
        now_ms=now_ms,
        installed_ms=now_ms,
        applied=log.settled,
    )
    out = Output()
    write(synchrony, out, PromiseRecord(place.member.boot, single.epoch))
    return synchrony, out
