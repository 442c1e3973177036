"""Records of the replicated state of the HTTP interface."""

from msgspec import Struct

from frostpost.virtual_synchrony.endpoints import Member


class HistoryEntry(Struct, array_like=True, frozen=True):
    """One completed turn in a program's history, with a CRC-32 of its input and output."""

    input: str
    output: str
    sum: int


class Program(Struct, array_like=True):
    """Budget in units, retention and history of one program.

    `turn` is the number of the open reservation, 0 if there is none; `due_ms` is when its next expiry check is
    scheduled, 0 if none is.
    """

    budget: int
    retention_ms: int
    spent: int = 0
    reserved: int = 0
    turn: int = 0
    touched_ms: int = 0
    lines: list[HistoryEntry] = []
    retained_until_ms: int = 0
    budget_retention_ms: int = 0
    budget_retained_until_ms: int = 0
    due_ms: int = 0


class Reservation(Struct, array_like=True, frozen=True):
    """Budget units and a runner's slot reserved by a running turn."""

    program: str
    owner: Member
    amount: int
    runner: str


class Claim(Struct, array_like=True):
    """An idempotency key: its owner, request digest, state and result.

    `ended_ms` is -1 until the key has a final state.
    """

    digest: str
    owner: Member
    window_ms: int
    status: str = "held"
    result: bytes = b""
    ended_ms: int = -1


class Runner(Struct, array_like=True, frozen=True):
    """A runner as listed by the platform; `room` is how many calls it accepts at once."""

    name: str
    instance: str
    host: str
    port: int
    pool: str
    zone: str
    room: int


class ConfigVersion(Struct, array_like=True, frozen=True):
    """One version of a configuration document.

    `source` and `number` identify its body, an empty digest stands for a removed document, `index` is its place in the
    order.
    """

    version: int
    digest: str
    size: int
    source: str
    number: int
    index: int


class SingletonRole(Struct, array_like=True):
    """A background role held by one member at a time, with its fencing token and the ballots of the open round."""

    holder: Member | None = None
    fence: int = 0
    round: int = 1
    ballots: dict[str, str] = {}
