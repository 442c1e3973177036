"""Results of the ledger's operations, as sent to other daemons."""

from msgspec import Struct

from frostpost.program_ledger.messages import ProgramResult

from .entities import HistoryEntry, Runner


class Done(Struct, array_like=True, frozen=True, tag="done"):
    """The operation took effect at this ledger index."""

    index: int


class Reserved(Struct, array_like=True, frozen=True, tag="reserved"):
    """The turn's reservation: its number, runner, units and the program's history so far."""

    index: int
    runner: Runner
    amount: int
    lines: tuple[HistoryEntry, ...]


class Won(Struct, array_like=True, frozen=True, tag="won"):
    """The caller owns the key."""

    index: int


class Shared(Struct, array_like=True, frozen=True, tag="shared"):
    """Another call owns the key; the state of the key and, once completed, its result."""

    status: str
    result: bytes


class ConfigSet(Struct, array_like=True, frozen=True, tag="configSet"):
    """The new version of a document and its ledger index."""

    version: int
    index: int


class ManySet(Struct, array_like=True, frozen=True, tag="manySet"):
    """The new versions, by path, of documents that were set atomically."""

    versions: tuple[tuple[str, int], ...]
    index: int


class VotersSet(Struct, array_like=True, frozen=True, tag="votersSet"):
    """The new voters."""

    voters: tuple[str, ...]


class BudgetSpent(Struct, array_like=True, frozen=True, tag="BudgetSpent"):
    """The program's budget is exhausted."""

    budget: int
    spent: int


class TurnOpen(Struct, array_like=True, frozen=True, tag="TurnOpen"):
    """The program has another turn running."""

    program: str


class NoRunner(Struct, array_like=True, frozen=True, tag="NoRunner"):
    """None of the candidates can accept a turn."""

    candidates: int


class StaleConfig(Struct, array_like=True, frozen=True, tag="StaleConfig"):
    """A document is at this version, not at the expected one."""

    path: str
    version: int


class KeyReused(Struct, array_like=True, frozen=True, tag="KeyReused"):
    """The key was claimed for a different request."""

    key: str


class NotHeld(Struct, array_like=True, frozen=True, tag="NotHeld"):
    """The sender does not hold what the operation refers to, or its precondition does not apply."""

    what: str


class Fenced(Struct, array_like=True, frozen=True, tag="Fenced"):
    """The sender's fencing token is not the current one."""

    fence: int


Result = (
    Done
    | Reserved
    | Won
    | Shared
    | ConfigSet
    | BudgetSpent
    | TurnOpen
    | NoRunner
    | StaleConfig
    | KeyReused
    | NotHeld
    | Fenced
    | VotersSet
    | ManySet
    | ProgramResult
)
