"""Who a daemon is and where it can be reached."""

from msgspec import Struct


class Member(Struct, frozen=True, array_like=True, order=True):
    """One life of a daemon: its name, and the incarnation that tells it from its earlier and later processes."""

    name: str
    incarnation: int


class Endpoint(Struct, frozen=True, array_like=True):
    """The address of a member, with its role and failure domain (zone).

    role: "storage" for voters and learners, else "core" or "edge". port: of inner frames; http_port: of the own HTTP
    interface, 0 where there is none. protocol_revision: the newest rules of the ledger that the daemon understands.
    """

    member: Member
    role: str
    zone: str
    host: str
    port: int
    http_port: int
    protocol_revision: int = 1


PROTOCOL_REVISION = 3
