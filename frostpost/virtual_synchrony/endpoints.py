"""Identities and network addresses of daemons."""

from msgspec import Struct


class Member(Struct, frozen=True, array_like=True, order=True):
    """One incarnation of a daemon: its name, and the number that distinguishes its successive processes."""

    name: str
    incarnation: int


class Endpoint(Struct, frozen=True, array_like=True):
    """The address of a member, with its role and failure domain (zone).

    role: "storage" for voters and learners, otherwise "core" or "edge". port: port of the internal protocol. http_port:
    port of the HTTP interface, 0 if there is none. protocol_revision: newest revision of the ledger's rules that the
    daemon supports.
    """

    member: Member
    role: str
    zone: str
    host: str
    port: int
    http_port: int
    protocol_revision: int = 1


PROTOCOL_REVISION = 6
