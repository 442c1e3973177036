"""Messages between replicas and agents, and between seeds during bootstrap.

Replicas are the members of the protocol (role storage); agents are the daemons that hold a lease granted by the
replicas. As in `messages`, tags and the order of fields must not change.
"""

from msgspec import Struct

from .endpoints import Endpoint
from .task_messages import TaskFailed, TaskOffer, UsageReply, UsageReport


class DirectoryRequest(Struct, frozen=True, array_like=True, tag=22):
    """Requests the receiver's directory of replicas; also announces the sender to an agent."""


class DirectoryReply(Struct, frozen=True, array_like=True, tag=23):
    """endpoints: the replicas in the sender's directory. bootstrap_voters: the initial voters, empty if unknown."""

    endpoints: tuple[Endpoint, ...]
    bootstrap_voters: tuple[str, ...] = ()


class LeaseRequest(Struct, frozen=True, array_like=True, tag=24):
    """Requests a lease for an agent and reports the version of the routing that it has applied.

    sent_ms: time of sending by the agent's clock. version: version of the routing. epoch: epoch of the replica
    configuration whose endpoints the agent has. draining: runners marked as draining in the platform's runner list.
    list_digest: digest of the runner list as the agent last read it. list_age_ms: age of that list; -1 if the agent has
    read none. list_period_ms: desired interval between two reads of the list, counted over all agents; 0 if the sender
    cannot read the list at present. wall_ms: the agent's time of day at sending, in milliseconds since 1970; 0 if
    unknown. can_run_tasks: whether the agent can make calls at the platform.
    """

    sent_ms: int
    version: int
    epoch: int = 0
    draining: tuple[str, ...] = ()
    list_digest: int = 0
    list_age_ms: int = -1
    list_period_ms: int = 0
    wall_ms: int = 0
    can_run_tasks: bool = False


class LeaseReply(Struct, frozen=True, array_like=True, tag=25):
    """The sequencer's reply to a lease request; other replicas name the sequencer and grant no lease.

    lease_ms: duration counted from `sent_ms` on the agent's clock; 0 if no lease can be granted. version: version of
    the routing in force. honoured: newest version that every agent with a running lease has applied. agent_count:
    number of agents that hold a lease. draining: runners that any agent reported as draining. list_digest, list_age_ms:
    digest and age of the newest runner list that any agent reported. list_turn: whether this agent is to read the list
    now. task_offers: platform tasks that this agent is to claim now. fleet_ms: the fleet's time of day, in milliseconds
    since 1970; 0 if unknown. closed: usage windows up to this number are closed; -1 if the sequencer takes no reports.
    """

    sent_ms: int
    lease_ms: int
    sequencer: str
    voters: tuple[str, ...] = ()
    version: int = 0
    honoured: int = 0
    epoch: int = 0
    endpoints: tuple[Endpoint, ...] = ()
    agent_count: int = 0
    draining: tuple[str, ...] = ()
    list_digest: int = 0
    list_age_ms: int = -1
    list_turn: bool = False
    task_offers: tuple[TaskOffer, ...] = ()
    fleet_ms: int = 0
    closed: int = -1


class OperationRequest(Struct, frozen=True, array_like=True, tag=26):
    """An operation submitted by an agent; a request repeated under the same number is executed once."""

    incarnation: int
    number: int
    payload: bytes


class OperationReply(Struct, frozen=True, array_like=True, tag=27):
    """Result of an operation. error: name of the failure; empty if `result` is set."""

    incarnation: int
    number: int
    result: bytes
    error: str = ""


class RoutingRequest(Struct, frozen=True, array_like=True, tag=28):
    """Requests the routing if it is newer than `version`."""

    version: int


class RoutingUpdate(Struct, frozen=True, array_like=True, tag=29):
    """A routing and its version. body: the routing as it was committed."""

    version: int
    body: bytes


class PutBodyRequest(Struct, frozen=True, array_like=True, tag=30):
    """Requests that a replica store the body of a turn."""

    incarnation: int
    number: int
    turn: str
    data: bytes


class PutBodyReply(Struct, frozen=True, array_like=True, tag=31):
    """synced: whether the replica has synced the body; False if it could not be stored."""

    incarnation: int
    number: int
    synced: bool


class GetBodiesRequest(Struct, frozen=True, array_like=True, tag=32):
    """Requests the bodies of turns."""

    incarnation: int
    number: int
    turns: tuple[str, ...]


class GetBodiesReply(Struct, frozen=True, array_like=True, tag=33):
    """Bodies by turn. Bodies missing on the replica, or beyond the size limit of a reply, are omitted."""

    incarnation: int
    number: int
    items: tuple[tuple[str, bytes], ...]


class StatusRequest(Struct, frozen=True, array_like=True, tag=34):
    """Requests the status of a daemon; sent by the administration commands."""


class StatusReply(Struct, frozen=True, array_like=True, tag=35):
    """status_json: the status as a JSON object."""

    status_json: bytes


class BootstrapRequest(Struct, frozen=True, array_like=True, tag=40):
    """Requests another seed's bootstrap record; sent by the seed that coordinates the bootstrap.

    names: if not empty, the voters that the receiver is to store in its bootstrap record.
    """

    names: tuple[str, ...] = ()


class BootstrapReply(Struct, frozen=True, array_like=True, tag=41):
    """Reports a seed's bootstrap record.

    names: the initial voters in it; empty if it has none. seeds: the seeds of the first start, as "host:port", if the
    sender's disk is still that of its first start. requester: incarnation of the process that this answers, 0 if it
    isn't told.
    """

    names: tuple[str, ...] = ()
    seeds: tuple[str, ...] = ()
    requester: int = 0


AGENT_MESSAGES = (
    BootstrapRequest,
    BootstrapReply,
    DirectoryRequest,
    DirectoryReply,
    LeaseRequest,
    LeaseReply,
    OperationRequest,
    OperationReply,
    RoutingRequest,
    RoutingUpdate,
    PutBodyRequest,
    PutBodyReply,
    GetBodiesRequest,
    GetBodiesReply,
    StatusRequest,
    StatusReply,
    UsageReport,
    UsageReply,
    TaskFailed,
)
