from msgspec import Struct

from .agent_messages import (
    BootstrapReply,
    BootstrapRequest,
    DirectoryReply,
    DirectoryRequest,
    GetBodiesReply,
    GetBodiesRequest,
    LeaseReply,
    LeaseRequest,
    OperationReply,
    OperationRequest,
    PutBodyReply,
    PutBodyRequest,
    RoutingRequest,
    RoutingUpdate,
    StatusReply,
    StatusRequest,
)
from .endpoints import Endpoint, Member

FRAME_VERSION = 1
PROTOCOL_REVISION = 3


class ConfigurationId(Struct, frozen=True, array_like=True, order=True):
    epoch: int
    proposer: str
    incarnation: int


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


class DurableState(Struct, frozen=True, array_like=True):
    primary: ConfigurationId
    length: int
    voters: tuple[str, ...]
    pending_voters: tuple[tuple[str, ...], ...]


class Heartbeat(Struct, frozen=True, array_like=True, tag=1):
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
    endpoints: tuple[Endpoint, ...]
    draining: bool


class ProposeRequest(Struct, frozen=True, array_like=True, tag=3):
    id: ConfigurationId
    members: tuple[Member, ...]
    sequencer: str


class ProposeRejection(Struct, frozen=True, array_like=True, tag=4):
    id: ConfigurationId
    promised: ConfigurationId


class RecoveryExchange(Struct, frozen=True, array_like=True, tag=5):
    """What a member holds at the start of a recovery. coming: voters asked for by entries that it has not delivered."""

    id: ConfigurationId
    last_configuration: ConfigurationId
    received_watermark: int
    ordinals_above: tuple[int, ...]
    safe_watermark: int
    obligations: tuple[Member, ...]
    durable_state: DurableState | None
    applied: int
    voters: tuple[str, ...]
    pending_voters: tuple[tuple[str, ...], ...] = ()


class RecoveryPlan(Struct, frozen=True, array_like=True, tag=6):
    id: ConfigurationId
    exchanges: dict[str, RecoveryExchange]


class Rebroadcast(Struct, frozen=True, array_like=True, tag=7):
    id: ConfigurationId
    entries: tuple[Entry, ...]


class RecoveryComplete(Struct, frozen=True, array_like=True, tag=8):
    id: ConfigurationId


class InstallRequest(Struct, frozen=True, array_like=True, tag=9):
    id: ConfigurationId


class SubmitRequest(Struct, frozen=True, array_like=True, tag=10):
    id: ConfigurationId
    first_open: int
    first: int
    payloads: tuple[bytes, ...]


class EntryBatch(Struct, frozen=True, array_like=True, tag=11):
    id: ConfigurationId
    entries: tuple[Entry, ...]
    safe_watermark: int


class BatchAck(Struct, frozen=True, array_like=True, tag=12):
    id: ConfigurationId
    received_watermark: int


class SafeUpdate(Struct, frozen=True, array_like=True, tag=13):
    id: ConfigurationId
    safe_watermark: int


class ReadyUpdate(Struct, frozen=True, array_like=True, tag=14):
    id: ConfigurationId


class EntriesRequest(Struct, frozen=True, array_like=True, tag=15):
    id: ConfigurationId
    first: int
    offset: int


class EntriesReply(Struct, frozen=True, array_like=True, tag=16):
    id: ConfigurationId
    entries: tuple[Entry, ...]


class SnapshotChunk(Struct, frozen=True, array_like=True, tag=17):
    id: ConfigurationId
    index: int
    offset: int
    total: int
    digest: str
    data: bytes


class ConfigBodyRequest(Struct, frozen=True, array_like=True, tag=18):
    digest: str
    offset: int


class ConfigBodyChunk(Struct, frozen=True, array_like=True, tag=19):
    digest: str
    offset: int
    total: int
    data: bytes


class ConfigVersionsRequest(Struct, frozen=True, array_like=True, tag=20):
    vector: dict[str, int]


class ConfigVersionsReply(Struct, frozen=True, array_like=True, tag=21):
    items: tuple[tuple[str, int, str, int], ...]


Message = (
    Heartbeat
    | DiscoveryUpdate
    | ProposeRequest
    | ProposeRejection
    | RecoveryExchange
    | RecoveryPlan
    | Rebroadcast
    | RecoveryComplete
    | InstallRequest
    | SubmitRequest
    | EntryBatch
    | BatchAck
    | SafeUpdate
    | ReadyUpdate
    | EntriesRequest
    | EntriesReply
    | SnapshotChunk
    | ConfigBodyRequest
    | ConfigBodyChunk
    | ConfigVersionsRequest
    | ConfigVersionsReply
    | DirectoryRequest
    | DirectoryReply
    | LeaseRequest
    | LeaseReply
    | OperationRequest
    | OperationReply
    | RoutingRequest
    | RoutingUpdate
    | PutBodyRequest
    | PutBodyReply
    | GetBodiesRequest
    | GetBodiesReply
    | StatusRequest
    | StatusReply
    | BootstrapRequest
    | BootstrapReply
)


class Frame(Struct, frozen=True, array_like=True):
    version: int
    endpoint: Endpoint
    to: str
    body: Message
