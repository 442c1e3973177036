"""Records that make up the replicated state of the own interface."""

from msgspec import Struct

from frostpost.virtual_synchrony.endpoints import Member


class HistoryLine(Struct, array_like=True, frozen=True):
    """One turn in a program's history: its input, output and checksum."""

    input: str
    output: str
    sum: int


class Program(Struct, array_like=True):
    """Budget in units, retention in milliseconds and history of one program."""

    budget: int
    retention_ms: int
    spent: int = 0
    reserved: int = 0
    turn: int = 0
    touched_ms: int = 0
    lines: list[HistoryLine] = []
    retained_until_ms: int = 0
    budget_retention_ms: int = 0
    budget_retained_until_ms: int = 0
    due_ms: int = 0


class Reservation(Struct, array_like=True, frozen=True):
    """Units and a runner's slot that a turn holds while it runs."""

    program: str
    owner: Member
    amount: int
    runner: str


class Claim(Struct, array_like=True):
    """An idempotency key: its owner, request digest, state and result."""

    digest: str
    owner: Member
    window_ms: int
    status: str = "held"
    result: bytes = b""
    ended_ms: int = -1


class Runner(Struct, array_like=True, frozen=True):
    """A runner as the platform lists it; room: how many calls it takes at once."""

    name: str
    instance: str
    host: str
    port: int
    pool: str
    zone: str
    room: int


class ConfigVersion(Struct, array_like=True, frozen=True):
    """One version of a configuration document: its digest, size, source and ledger index."""

    version: int
    digest: str
    size: int
    source: str
    number: int
    index: int


class SingletonRole(Struct, array_like=True):
    """A background duty with its holder, fencing token and the votes of the open round."""

    holder: Member | None = None
    fence: int = 0
    round: int = 1
    ballots: dict[str, str] = {}
