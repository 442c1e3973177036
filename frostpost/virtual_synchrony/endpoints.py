from msgspec import Struct


class Member(Struct, frozen=True, array_like=True, order=True):
    name: str
    incarnation: int


class Endpoint(Struct, frozen=True, array_like=True):
    member: Member
    role: str
    zone: str
    host: str
    port: int
    http_port: int
    protocol_revision: int = 1
