from msgspec import Struct


class Member(Struct, frozen=True, array_like=True, order=True):
    name: str
    boot: int


class Endpoint(Struct, frozen=True, array_like=True):
    member: Member
    role: str
    zone: str
    host: str
    port: int
    http_port: int
    speaks: int = 1
