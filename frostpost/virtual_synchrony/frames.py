"""The frame of the internal protocol, and the union of its messages."""

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
from .config_messages import ConfigBodyChunk, ConfigBodyRequest, ConfigVersionsReply, ConfigVersionsRequest
from .endpoints import Endpoint
from .messages import (
    BatchAck,
    DiscoveryUpdate,
    EntriesReply,
    EntriesRequest,
    EntryBatch,
    Heartbeat,
    InstallRequest,
    ProposeRejection,
    ProposeRequest,
    ReadyUpdate,
    Rebroadcast,
    RecoveryComplete,
    RecoveryExchange,
    RecoveryPlan,
    SafeUpdate,
    SnapshotChunk,
    SubmitRequest,
)
from .task_messages import TaskFailed, UsageReply, UsageReport

FRAME_VERSION = 1


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
    | UsageReport
    | UsageReply
    | TaskFailed
)


class Frame(Struct, frozen=True, array_like=True):
    """One message between daemons. endpoint: the sender's. to: name of the receiver, empty if unknown."""

    version: int
    endpoint: Endpoint
    to: str
    body: Message
