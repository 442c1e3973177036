"""Messages between replicas and agents, and between seeds at the first start.

Replicas are the members of the protocol (role storage); agents are the daemons that hold a lease from them. As in
`messages`, tags and the order of fields must not change.
"""

from msgspec import Struct

from .endpoints import Endpoint


class DirectoryRequest(Struct, frozen=True, array_like=True, tag=22):
    """Asks for the replicas that the receiver knows; also greets an agent that the sender knows."""


class DirectoryReply(Struct, frozen=True, array_like=True, tag=23):
    """endpoints: the replicas that the sender knows. bootstrap_voters: the founding voters, if it knows them."""

    endpoints: tuple[Endpoint, ...]
    bootstrap_voters: tuple[str, ...] = ()


class LeaseRequest(Struct, frozen=True, array_like=True, tag=24):
    """An agent asks for its lease and tells which routing it honours.

    sent_ms: on the agent's clock. version: of the routing. epoch: of the replicas' configuration whose endpoints it
    knows. draining: runners that the platform's list shows it as draining. list_digest, list_age_ms: of the list of
    runners as it read it last, and how long ago; -1 where it has read none. list_period_ms: how far apart all agents'
    turns at reading the list are to lie; 0 if the sender can take no turn now.
    """

    sent_ms: int
    version: int
    epoch: int = 0
    draining: tuple[str, ...] = ()
    list_digest: int = 0
    list_age_ms: int = -1
    list_period_ms: int = 0


class LeaseReply(Struct, frozen=True, array_like=True, tag=25):
    """The sequencer's answer; another replica names the sequencer that it knows, with no lease.

    lease_ms: from `sent_ms` on the agent's clock, 0 if none may be granted. version: of the routing in force; honoured:
    the newest that every agent with a running lease honours. leaves: how many agents hold a lease. draining: runners
    that any agent told of. list_digest, list_age_ms: of the newest list of runners that any agent told of.
    list_turn: whether the agent is to read the list now.
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


class OperationRequest(Struct, frozen=True, array_like=True, tag=26):
    """An agent submits an operation; the same number may come again and has one effect."""

    incarnation: int
    number: int
    payload: bytes


class OperationReply(Struct, frozen=True, array_like=True, tag=27):
    """The result of an operation; `fault` names why there is none, and is empty where `verdict` stands."""

    incarnation: int
    number: int
    result: bytes
    error: str = ""


class RoutingRequest(Struct, frozen=True, array_like=True, tag=28):
    """Asks for a routing newer than this version."""

    version: int


class RoutingUpdate(Struct, frozen=True, array_like=True, tag=29):
    """A routing and its version; body: as it was committed."""

    version: int
    body: bytes


class PutBodyRequest(Struct, frozen=True, array_like=True, tag=30):
    """Asks a replica to keep the body of a turn."""

    incarnation: int
    number: int
    turn: str
    data: bytes


class PutBodyReply(Struct, frozen=True, array_like=True, tag=31):
    """synced: whether the body is on the replica's disk; False if it could not be kept."""

    incarnation: int
    number: int
    synced: bool


class GetBodiesRequest(Struct, frozen=True, array_like=True, tag=32):
    """Asks for bodies of turns."""

    incarnation: int
    number: int
    turns: tuple[str, ...]


class GetBodiesReply(Struct, frozen=True, array_like=True, tag=33):
    """Bodies by turn; those that the replica lacks, and those past a bound in bytes, are left out."""

    incarnation: int
    number: int
    items: tuple[tuple[str, bytes], ...]


class StatusRequest(Struct, frozen=True, array_like=True, tag=34):
    """An operator's tool asks for the daemon's status."""


class StatusReply(Struct, frozen=True, array_like=True, tag=35):
    """facts: a JSON object."""

    status_json: bytes


class BootstrapRequest(Struct, frozen=True, array_like=True, tag=40):
    """The founder asks another seed which bootstrap record it keeps, or to keep these voters if any are named."""

    names: tuple[str, ...] = ()


class BootstrapReply(Struct, frozen=True, array_like=True, tag=41):
    """The founding voters that a seed keeps on its disk; empty if it keeps none."""

    names: tuple[str, ...] = ()


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
)
