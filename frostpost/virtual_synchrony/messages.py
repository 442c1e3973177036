"""Messages of the ordering protocol between members.

Each message is an array on the wire, told apart by its tag: tags and the order of fields must not change. New fields go
to the end and have defaults.
"""

from msgspec import Struct

from .configuration import ConfigurationId, DurableState, Entry
from .endpoints import Endpoint, Member


class Heartbeat(Struct, frozen=True, array_like=True, tag=1):
    """Sent to every peer each heartbeat period; carries the failure detector's view and extends leases.

    reachable: the members that the sender hears. echo_ms: the `sent_ms` of the receiver's last heartbeat, by which the
    receiver knows until when it was heard. ready: whether the sender's log holds all entries of the primary. status:
    small counters of the role, by name. serving: whether it stands in an opened primary. last_primary: the newest in
    its log.
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
    """Endpoints that the sender knows, and whether it is draining."""

    endpoints: tuple[Endpoint, ...]
    draining: bool


class ProposeRequest(Struct, frozen=True, array_like=True, tag=3):
    """The proposer asks a member to promise a new configuration (the prepare phase)."""

    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str


class ProposeRejection(Struct, frozen=True, array_like=True, tag=4):
    """The member has promised another configuration, `promised`, or protects a serving primary."""

    id: ConfigurationId
    promised: ConfigurationId


class RecoveryExchange(Struct, frozen=True, array_like=True, tag=5):
    """What a member holds at the start of a recovery.

    last_configuration: the configuration it comes from. received_watermark: it has all entries up to this ordinal;
    ordinals_above_gap: those it has beyond. obligations: members whose entries it must deliver. durable_state: None for
    roles without a log. pending_voters: sets of voters asked for by entries that it has not delivered.
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
    """The proposer has all exchanges, by member name: each member can work out alone what to send again."""

    id: ConfigurationId
    exchanges: dict[str, RecoveryExchange]


class Rebroadcast(Struct, frozen=True, array_like=True, tag=7):
    """Entries that the receiver lacks and the sender was chosen to hand on."""

    id: ConfigurationId
    entries: tuple[Entry, ...]


class RecoveryComplete(Struct, frozen=True, array_like=True, tag=8):
    """The sender holds, and has synced, all that the plan asks for; it is bound to this configuration."""

    id: ConfigurationId


class InstallRequest(Struct, frozen=True, array_like=True, tag=9):
    """All members have completed the recovery: deliver what remains and install the configuration."""

    id: ConfigurationId


class SubmitRequest(Struct, frozen=True, array_like=True, tag=10):
    """Operations for the sequencer to order.

    first_open: the lowest number that is not applied yet. first: the number of the first payload; the others follow.
    """

    id: ConfigurationId
    first_open: int
    first: int
    payloads: tuple[bytes, ...]


class EntryBatch(Struct, frozen=True, array_like=True, tag=11):
    """Ordered entries from the sequencer, with the ordinal up to which the order is safe."""

    id: ConfigurationId
    entries: tuple[Entry, ...]
    safe_watermark: int


class BatchAck(Struct, frozen=True, array_like=True, tag=12):
    """How far the sender is with the entries of its configuration, as ordinals.

    acknowledged_watermark: all up to it are received, and synced if the sender's log is bound to the primary.
    received_watermark: all up to it are received. synced_watermark: all up to it are on disk in a log that is bound to
    the primary; 0 without such a log. The build before sends the first one only.
    """

    id: ConfigurationId
    acknowledged_watermark: int
    received_watermark: int = 0
    synced_watermark: int = 0


class SafeUpdate(Struct, frozen=True, array_like=True, tag=13):
    """The order is safe up to this ordinal: entries up to it may be delivered."""

    id: ConfigurationId
    safe_watermark: int


class ReadyUpdate(Struct, frozen=True, array_like=True, tag=14):
    """The sender's log holds all entries of the primary's history, synced."""

    id: ConfigurationId


class EntriesRequest(Struct, frozen=True, array_like=True, tag=15):
    """A member lacks entries from index `first` on, or the rest of a snapshot from byte `offset` on."""

    id: ConfigurationId
    first: int
    offset: int


class EntriesReply(Struct, frozen=True, array_like=True, tag=16):
    """Consecutive entries of the log."""

    id: ConfigurationId
    entries: tuple[Entry, ...]


class SnapshotChunk(Struct, frozen=True, array_like=True, tag=17):
    """Bytes of a snapshot of all entries up to `index`.

    offset and total: in bytes. digest: of the whole snapshot, in hexadecimal.
    """

    id: ConfigurationId
    index: int
    offset: int
    total: int
    digest: str
    data: bytes
