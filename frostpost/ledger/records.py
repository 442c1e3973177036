"""Records that make up the replicated state of the own interface."""

from msgspec import Struct

from frostpost.virtual_synchrony.words import Member


class Line(Struct, array_like=True, frozen=True):
    input: str
    output: str
    sum: int


class Program(Struct, array_like=True):
    budget: int
    keep_ms: int
    spent: int = 0
    reserved: int = 0
    turn: int = 0
    touched_ms: int = 0
    lines: list[Line] = []
    kept_ms: int = 0
    budget_keep_ms: int = 0
    budget_kept_ms: int = 0
    due_ms: int = 0


class Reservation(Struct, array_like=True, frozen=True):
    program: str
    owner: Member
    amount: int
    runner: str


class Claim(Struct, array_like=True):
    digest: str
    owner: Member
    window_ms: int
    status: str = "held"
    verdict: bytes = b""
    ended_ms: int = -1


class Runner(Struct, array_like=True, frozen=True):
    name: str
    instance: str
    host: str
    port: int
    pool: str
    cell: str
    room: int


class Mark(Struct, array_like=True, frozen=True):
    version: int
    digest: str
    size: int
    source: str
    number: int
    index: int
