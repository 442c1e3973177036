"""The protocol's state at one member, and helpers shared by all parts of the protocol."""

from msgspec import Struct, field

from .bounds import Bounds
from .configuration import Configuration, ConfigurationId, Entry
from .durable_log import NO_CONFIGURATION, DurableLog
from .endpoints import Endpoint, Member
from .events import Output, PromiseRecord
from .messages import RecoveryExchange
from .order_state import OrderState, PendingAck

# Earlier than any clock reading.
NEVER_MS = -(1 << 40)


class Peer(Struct):
    """State of another member, mostly as reported by its heartbeats.

    heard_ms: time of the last heartbeat; sent_ms: the sender's clock in it, which is echoed. granted_ms: sending time
    of the newest own heartbeat that the peer has confirmed in this configuration, from which its lease grant counts.
    excluded_until_ms: time until which it is not desired as a member, since it delayed a proposal. past_incarnations:
    earlier incarnations, whose late messages are ignored.
    """

    endpoint: Endpoint
    heard_ms: int = NEVER_MS
    reachable: frozenset[Member] = frozenset()
    configuration: ConfigurationId = NO_CONFIGURATION
    promised: ConfigurationId = NO_CONFIGURATION
    sent_ms: int = 0
    granted_ms: int = NEVER_MS
    unhealthy: bool = False
    ready: bool = False
    applied: int = 0
    serving: bool = False
    last_primary: ConfigurationId = NO_CONFIGURATION
    draining: bool = False
    excluded_until_ms: int = NEVER_MS
    exclusions: int = 0
    status: dict[str, int] = {}
    past_incarnations: frozenset[Member] = frozenset()


class Proposal(Struct):
    """A configuration proposed by this member. exchanges: by member name. plan_sent: whether all have arrived."""

    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str
    started_ms: int
    sent_ms: int
    exchanges: dict[str, RecoveryExchange] = {}
    completed_members: set[str] = set()
    plan_sent: bool = False


class Recovery(Struct):
    """The promised configuration and the progress of the recovery into it.

    plan: exchanges of all members, by name. transitional_members: members that come from the same configuration.
    required_ordinals: entries that all of these must hold. ordinals_to_rebroadcast: those that this member sends, by
    receiver; rebroadcast_rounds: how often it has sent them. sync_target: number of the record that must be synced
    before this member confirms.
    """

    id: ConfigurationId
    proposer: str
    members: tuple[Member, ...]
    sequencer: str
    started_ms: int
    sent_ms: int
    plan: dict[str, RecoveryExchange] | None = None
    transitional_members: tuple[Member, ...] = ()
    required_ordinals: frozenset[int] = frozenset()
    ordinals_to_rebroadcast: dict[str, tuple[int, ...]] = {}
    rebroadcast_rounds: int = 0
    is_complete: bool = False
    sync_target: int = -1


class PrimaryState(Struct):
    """The primary component as seen by this member in the installed configuration.

    eligible: whether a majority of the voters is present, so that entries take effect. donor: member with the longest
    log of the newest primary, which ends at `base`. pending_voters: sets of voters requested by uncommitted entries.
    ready: this member's log holds all entries up to `base`, synced once record `ready_record_number` is. open_ordered,
    open_committed, opened: whether the first entry, OpenPrimary, is ordered by the sequencer, delivered, applied. The
    remaining fields are used for catching up.
    """

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
    last_fetch_ms: int = NEVER_MS
    loading_snapshot: bool = False
    snapshot_buffer: bytearray = field(default_factory=bytearray)
    snapshot_buffer_index: int = -1
    fetch_source: str = ""


class Synchrony(Struct):
    """The complete protocol state of one member, modified only by steps of the protocol.

    has_log: whether the role keeps a log (voters and learners). voters: those in force as of the applied entries.
    desired_members: members chosen by the failure detector, unchanged since `desired_since_ms`. obligations: members
    whose entries must be delivered in a transitional configuration. applied: index of the last applied entry.
    pending_entries: entries delivered and not applied, by index. outbox: own unapplied operations by number, of
    `outbox_bytes` in all.
    written_count, synced_count: numbers of records written and synced. pending_acks: acknowledgements that wait for a
    sync, oldest first. messages_to_replay: early messages of a configuration that was just installed. status: counters
    sent in heartbeats. apply_paused: set while a snapshot is encoded. peers_changed: whether peers have changed since
    the last tick.
    """

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
    heartbeat_ms: int = NEVER_MS
    last_announcement_ms: int = NEVER_MS
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
    outbox_bytes: int = 0
    outbox_ms: int = 0
    last_submitted_number: int = 0
    last_operation_number: int = 0
    written_count: int = 0
    synced_count: int = 0
    pending_acks: list[PendingAck] = []
    was_last_sync_slow: bool = False
    messages_to_replay: list[tuple[str, object]] = []
    unhealthy: bool = False
    draining: bool = False
    apply_paused: bool = False
    counts: dict[str, int] = {}
    status: dict[str, int] = {}
    peers_changed: bool = True
    last_tick_ms: int = NEVER_MS
    membership_differs: bool = True

    @property
    def local_member(self):
        """The member that this state belongs to."""
        return self.endpoint.member

    @property
    def name(self):
        """The local member's name."""
        return self.endpoint.member.name


def increment_counter(synchrony, counter, amount=1):
    """Increment a named counter."""
    synchrony.counts[counter] = synchrony.counts.get(counter, 0) + amount


def write_record(synchrony, out, record):
    """Write a record to the log, if this role keeps one. Returns the number of records written so far."""
    if synchrony.has_log:
        out.writes.append(record)
        synchrony.written_count += 1
    return synchrony.written_count


def create_synchrony(endpoint, bounds, seeds, voters, log, now_ms):
    """Return the initial (state, output) of a member with this log, alone in a new configuration."""
    has_log_role = endpoint.role == "storage"
    initial_id = ConfigurationId(log.epoch + 1, endpoint.member.name, endpoint.member.incarnation)
    synchrony = Synchrony(
        endpoint=endpoint,
        bounds=bounds,
        seeds=tuple(seeds),
        bootstrap_voters=tuple(voters),
        has_log=has_log_role,
        log=log,
        configuration=Configuration(initial_id, (endpoint.member,), endpoint.member.name),
        promised=initial_id,
        now_ms=now_ms,
        installed_ms=now_ms,
        applied=log.commit_index,
    )
    out = Output()
    write_record(synchrony, out, PromiseRecord(endpoint.member.incarnation, initial_id.epoch))
    return synchrony, out
