"""Messages of the ordering protocol between members.

Each message is encoded as an array identified by its tag: tags and the order of fields must not change. New fields are
appended and have defaults.
"""

from msgspec import Struct

from .configuration import ConfigurationId, DurableState, Entry
from .endpoints import Endpoint, Member


class Heartbeat(Struct, frozen=True, array_like=True, tag=1):
    """Sent to every peer in each heartbeat period; carries failure detector state and extends leases.

    reachable: members that the sender receives heartbeats from. echo_ms: `sent_ms` of the last heartbeat received from
    the receiver, from which time the sender grants the receiver its lease. ready: whether the sender's log holds all
    entries of the primary. status: counters of the sender's role, by name. serving: whether the sender is in an open
    primary. last_primary: the newest primary in the sender's log.
    """

    configuration: ConfigurationId
    promised: ConfigurationId
    reachable: tuple[Member, ...]
    sent_ms: int
    echo_ms: int
    unhealthy: bool
    ready: bool
    applied: int
    status: dict[str, int]
    serving: bool = False
    last_primary: ConfigurationId = ConfigurationId(0, "", 0)


class DiscoveryUpdate(Struct, frozen=True, array_like=True, tag=2):
    """Endpoints in the sender's directory, and whether the sender is draining."""

    endpoints: tuple[Endpoint, ...]
    draining: bool


class ProposeRequest(Struct, frozen=True, array_like=True, tag=3):
    """Requests a member's promise for a new configuration (the prepare phase)."""

    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str


class ProposeRejection(Struct, frozen=True, array_like=True, tag=4):
    """The member has promised configuration `promised` instead, or protects a serving primary."""

    id: ConfigurationId
    promised: ConfigurationId


class RecoveryExchange(Struct, frozen=True, array_like=True, tag=5):
    """A member's state at the start of a recovery.

    last_configuration: the configuration that the member comes from. received_watermark: all entries up to this ordinal
    are received; ordinals_above_gap: those received beyond it. obligations: members whose entries must be delivered.
    durable_state: None for roles without a log. pending_voters: sets of voters requested by undelivered entries.
    """

    id: ConfigurationId
    last_configuration: ConfigurationId
    received_watermark: int
    ordinals_above_gap: tuple[int, ...]
    safe_watermark: int
    obligations: tuple[Member, ...]
    durable_state: DurableState | None
    applied: int
    voters: tuple[str, ...]
    pending_voters: tuple[tuple[str, ...], ...] = ()


class RecoveryPlan(Struct, frozen=True, array_like=True, tag=6):
    """The exchanges of all members, by name, from which each member derives the entries it must resend."""

    id: ConfigurationId
    exchanges: dict[str, RecoveryExchange]


class Rebroadcast(Struct, frozen=True, array_like=True, tag=7):
    """Entries that the receiver lacks and that were assigned to the sender."""

    id: ConfigurationId
    entries: tuple[Entry, ...]


class RecoveryComplete(Struct, frozen=True, array_like=True, tag=8):
    """The sender holds and has synced all entries required by the plan, and is committed to this configuration."""

    id: ConfigurationId


class InstallRequest(Struct, frozen=True, array_like=True, tag=9):
    """All members have completed the recovery: deliver the remaining entries and install the configuration."""

    id: ConfigurationId


class SubmitRequest(Struct, frozen=True, array_like=True, tag=10):
    """Operations for the sequencer to order.

    first_open: lowest operation number that is not applied yet. first: number of the first payload; the rest follow on.
    """

    id: ConfigurationId
    first_open: int
    first: int
    payloads: tuple[bytes, ...]


class EntryBatch(Struct, frozen=True, array_like=True, tag=11):
    """Ordered entries from the sequencer, and the ordinal up to which the order is safe."""

    id: ConfigurationId
    entries: tuple[Entry, ...]
    safe_watermark: int


class BatchAck(Struct, frozen=True, array_like=True, tag=12):
    """The sender's progress in its configuration, as ordinals.

    acknowledged_watermark: all entries up to it are received, and synced if the sender's log is bound to the primary.
    received_watermark: all entries up to it are received. synced_watermark: all entries up to it are synced in a log
    that is bound to the primary; 0 without such a log. The previous release sends only the first field.
    """

    id: ConfigurationId
    acknowledged_watermark: int
    received_watermark: int = 0
    synced_watermark: int = 0


class SafeUpdate(Struct, frozen=True, array_like=True, tag=13):
    """The order is safe up to this ordinal, so entries up to it may be delivered."""

    id: ConfigurationId
    safe_watermark: int


class ReadyUpdate(Struct, frozen=True, array_like=True, tag=14):
    """The sender's log holds all entries of the primary's history, synced."""

    id: ConfigurationId


class EntriesRequest(Struct, frozen=True, array_like=True, tag=15):
    """Requests entries from index `first` on, or the rest of a snapshot from byte `offset` on."""

    id: ConfigurationId
    first: int
    offset: int


class EntriesReply(Struct, frozen=True, array_like=True, tag=16):
    """Consecutive entries of the log."""

    id: ConfigurationId
    entries: tuple[Entry, ...]


class SnapshotChunk(Struct, frozen=True, array_like=True, tag=17):
    """A part of a snapshot of all entries up to `index`.

    offset, total: in bytes. digest: digest of the whole snapshot, in hexadecimal.
    """

    id: ConfigurationId
    index: int
    offset: int
    total: int
    digest: str
    data: bytes
