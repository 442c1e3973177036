from msgspec import Struct, field

from .durable_log import NOWHERE, DurableLog
from .events import Output, PromiseRecord
from .messages import Configuration, ConfigurationId, Endpoint, Entry, Member, RecoveryExchange

ROLE_ORDER = {"storage": 0, "core": 1, "edge": 2}


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
    def heartbeat_ms(self):
        return self.detect_ms // 5

    @property
    def join_ms(self):
        return self.detect_ms // 2

    @property
    def resend_ms(self):
        return self.detect_ms // 5


class Peer(Struct):
    endpoint: Endpoint
    heard_ms: int = -(1 << 40)
    reachable: frozenset[Member] = frozenset()
    configuration: ConfigurationId = NOWHERE
    promised: ConfigurationId = NOWHERE
    sent_ms: int = 0
    granted_ms: int = -(1 << 40)
    unhealthy: bool = False
    ready: bool = False
    applied: int = 0
    serving: bool = False
    last_primary: ConfigurationId = NOWHERE
    draining: bool = False
    excluded_until_ms: int = -(1 << 40)
    exclusions: int = 0
    status: dict[str, int] = {}
    past_incarnations: frozenset[Member] = frozenset()


class Proposal(Struct):
    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str
    started_ms: int
    sent_ms: int
    exchanges: dict[str, RecoveryExchange] = {}
    completed_members: set[str] = set()
    plan_sent: bool = False


class Recovery(Struct):
    id: ConfigurationId
    proposer: str
    members: tuple[Member, ...]
    sequencer: str
    started_ms: int
    sent_ms: int
    plan: dict[str, RecoveryExchange] | None = None
    transitional_members: tuple[Member, ...] = ()
    wanted_ordinals: frozenset[int] = frozenset()
    owed_ordinals: dict[str, tuple[int, ...]] = {}
    is_complete: bool = False
    sync_target: int = -1


class OrderState(Struct):
    pending: dict[int, Entry] = {}
    received_watermark: int = 0
    acked: int = 0
    delivered_watermark: int = 0
    safe_watermark: int = 0
    next_ordinal: int = 1
    acks: dict[str, int] = {}
    sent: dict[str, int] = {}
    sent_ms: dict[str, int] = {}
    submitted_watermark: dict[Member, int] = {}
    out_of_order: dict[Member, dict[int, bytes]] = {}
    unsent_entries: list[Entry] = []
    sent_watermark: int = 0
    floor: int = 0
    early_messages: list[tuple[str, object]] = []


class PrimaryState(Struct):
    eligible: bool = False
    donor: str = ""
    base: int = 0
    voters: tuple[str, ...] = ()
    pending_voters: tuple[tuple[str, ...], ...] = ()
    ready_members: set[str] = set()
    ready: bool = False
    ready_record_number: int = -1
    log_matches: bool = False
    open_committed: bool = False
    opened: bool = False
    open_ordered: bool = False
    fetched_ms: int = -(1 << 40)
    loading_snapshot: bool = False
    chunks: bytearray = field(default_factory=bytearray)
    chunks_index: int = -1
    fetch_source: str = ""


class Synchrony(Struct):
    endpoint: Endpoint
    bounds: Bounds
    seeds: tuple[str, ...]
    bootstrap_voters: tuple[str, ...]
    has_log: bool
    log: DurableLog
    configuration: Configuration
    promised: ConfigurationId
    voters: tuple[str, ...] = ()
    installed_ms: int = 0
    peers: dict[str, Peer] = {}
    now_ms: int = 0
    heartbeat_ms: int = -(1 << 40)
    discovery_ms: int = -(1 << 40)
    announced_endpoints: tuple[Endpoint, ...] = ()
    announced_periods: int = 0
    desired_members: tuple[Member, ...] = ()
    desired_since_ms: int = 0
    obligations: frozenset[Member] = frozenset()
    proposal: Proposal | None = None
    recovery: Recovery | None = None
    order: OrderState = field(default_factory=OrderState)
    primary: PrimaryState = field(default_factory=PrimaryState)
    applied: int = 0
    pending_entries: dict[int, Entry] = {}
    outbox: dict[int, bytes] = {}
    outbox_ms: int = 0
    submitted: int = 0
    last_number: int = 0
    written_count: int = 0
    synced_count: int = 0
    pending_acks: list[tuple[int, int]] = []
    replayed_messages: list[tuple[str, object]] = []
    unhealthy: bool = False
    draining: bool = False
    apply_paused: bool = False
    counts: dict[str, int] = {}
    status: dict[str, int] = {}
    peers_changed: bool = True
    ticked_ms: int = -(1 << 40)
    membership_differs: bool = True

    @property
    def me(self):
        return self.endpoint.member

    @property
    def name(self):
        return self.endpoint.member.name


def increment_counter(synchrony, what, by=1):
    synchrony.counts[what] = synchrony.counts.get(what, 0) + by


def write_record(synchrony, out, record):
    if synchrony.has_log:
        out.writes.append(record)
        synchrony.written_count += 1
    return synchrony.written_count


def member_names(configuration):
    return [m.name for m in configuration.members]


def role_of(synchrony, name):
    if name == synchrony.name:
        return synchrony.endpoint.role
    peer = synchrony.peers.get(name)
    return peer.endpoint.role if peer else "edge"


def sequencer_of(synchrony):
    return synchrony.configuration.sequencer


def elect_sequencer(synchrony, members):
    held = sorted(m.name for m in members)
    return next((n for n in held if role_of(synchrony, n) == "core"), held[0])


def is_majority(voters, present):
    return len(voters) > 0 and sum(v in present for v in voters) * 2 > len(voters)


def has_quorums(primary, present):
    return all(is_majority(v, present) for v in (primary.voters, *primary.pending_voters))


def begin_synchrony(endpoint, bounds, seeds, voters, log, now_ms):
    storage = endpoint.role == "storage"
    single = ConfigurationId(log.epoch + 1, endpoint.member.name, endpoint.member.incarnation)
    synchrony = Synchrony(
        endpoint=endpoint,
        bounds=bounds,
        seeds=tuple(seeds),
        bootstrap_voters=tuple(voters),
        has_log=storage,
        log=log,
        configuration=Configuration(single, (endpoint.member,), endpoint.member.name),
        promised=single,
        now_ms=now_ms,
        installed_ms=now_ms,
        applied=log.commit_index,
    )
    out = Output()
    write_record(synchrony, out, PromiseRecord(endpoint.member.incarnation, single.epoch))
    return synchrony, out
