"""The ledger of programs as trees of turns; a pure value that only `apply` changes."""

from msgspec import Struct

from .messages import NoTurn, TokensSpent


class Turn(Struct, array_like=True):
    """A turn that ended whole. tokens: its prompt and output, which its runner may still hold."""

    program: str
    previous: str
    kept_until_ms: int
    runner: str = ""
    tokens: int = 0


class Attempt(Struct, array_like=True):
    """An attempt that was begun and not ended; until_ms: when it no longer occupies its runner."""

    program: str
    amount: int
    previous: str
    runner: str
    until_ms: int
    prompt_tokens: int = 0
    placed: bool = True
    moves: int = 0


class Account(Struct, array_like=True):
    """What a program's attempts put out (spent) and may still put out at the most (reserved)."""

    budget: int
    spent: int = 0
    reserved: int = 0
    touched_ms: int = 0
    open: int = 0


class OperationKey(Struct, array_like=True):
    """An operation key: the attempt that owns it, the end of its window, and the answer once there is one."""

    attempt: str
    until_ms: int
    answer: bytes = b""
    answered: bool = False


class RunnerUse(Struct, array_like=True):
    """parts: prompt parts this runner has read, least recently used first, with their tokens."""

    active: int = 0
    parts: dict[str, int] = {}
    tokens: int = 0
    used_ms: int = 0


class AcceptedChange(Struct, array_like=True):
    """A change of the routing that was taken. digest: what it said; until_ms: end of the time to remember it."""

    digest: bytes
    until_ms: int


class ProgramLedger(Struct, array_like=True):
    """tombs: attempts that are over, until when; refused: what those that were refused were told.
    taken: changes of the routing by the version that they led to, oldest first; see `taken_changes`."""

    turns: dict[str, Turn] = {}
    attempts: dict[str, Attempt] = {}
    accounts: dict[str, Account] = {}
    keys: dict[str, OperationKey] = {}
    runners: dict[str, RunnerUse] = {}
    tombs: dict[str, int] = {}
    refused: dict[str, TokensSpent | NoTurn] = {}
    routing_version: int = 0
    routing_body: bytes = b""
    retiring: dict[str, str] = {}
    expiries: list[tuple[int, str, str]] = []
    taken: dict[int, AcceptedChange] = {}
    forgotten_version: int = 0
