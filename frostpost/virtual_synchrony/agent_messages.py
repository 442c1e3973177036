"""Messages between the ring's members and the leaves round it; the ring's own are in words.py."""

from msgspec import Struct

from .endpoints import Endpoint


class DirectoryRequest(Struct, frozen=True, array_like=True, tag=22):
    pass


class DirectoryReply(Struct, frozen=True, array_like=True, tag=23):
    """places: the ring's daemons that the teller knows; charter: the founding voters, if it knows them."""

    endpoints: tuple[Endpoint, ...]
    charter: tuple[str, ...] = ()


class LeaseRequest(Struct, frozen=True, array_like=True, tag=24):
    """A leaf asks for its lease and tells which routing it honours; sent_ms is on its own clock.
    epoch: the ring's configuration whose places it knows. draining: runners that its own list shows as leaving."""

    sent_ms: int
    version: int
    epoch: int = 0
    draining: tuple[str, ...] = ()


class LeaseReply(Struct, frozen=True, array_like=True, tag=25):
    """lease_ms from sent_ms on the leaf's clock, 0 if the teller may grant none; sequencer: whom to ask."""

    sent_ms: int
    lease_ms: int
    sequencer: str
    voters: tuple[str, ...] = ()
    version: int = 0
    honoured: int = 0
    epoch: int = 0
    endpoints: tuple[Endpoint, ...] = ()
    leaves: int = 0
    draining: tuple[str, ...] = ()


class OperationRequest(Struct, frozen=True, array_like=True, tag=26):
    incarnation: int
    number: int
    payload: bytes


class OperationReply(Struct, frozen=True, array_like=True, tag=27):
    """fault is empty where the verdict stands."""

    incarnation: int
    number: int
    verdict: bytes
    fault: str = ""


class RoutingRequest(Struct, frozen=True, array_like=True, tag=28):
    version: int


class RoutingUpdate(Struct, frozen=True, array_like=True, tag=29):
    version: int
    body: bytes


class PutBodyRequest(Struct, frozen=True, array_like=True, tag=30):
    incarnation: int
    number: int
    turn: str
    data: bytes


class PutBodyReply(Struct, frozen=True, array_like=True, tag=31):
    incarnation: int
    number: int
    synced: bool


class GetBodiesRequest(Struct, frozen=True, array_like=True, tag=32):
    incarnation: int
    number: int
    turns: tuple[str, ...]


class GetBodiesReply(Struct, frozen=True, array_like=True, tag=33):
    incarnation: int
    number: int
    items: tuple[tuple[str, bytes], ...]


class StatusRequest(Struct, frozen=True, array_like=True, tag=34):
    pass


class StatusReply(Struct, frozen=True, array_like=True, tag=35):
    """facts: a JSON object."""

    facts: bytes


class BootstrapRequest(Struct, frozen=True, array_like=True, tag=40):
    """A founder asks another seed which charter it keeps, or to keep this one if `names` isn't empty."""

    names: tuple[str, ...] = ()


class BootstrapReply(Struct, frozen=True, array_like=True, tag=41):
    """The charter that a seed keeps on its disk; empty if it keeps none."""

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
