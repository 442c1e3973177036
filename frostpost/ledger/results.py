"""Results of the ledger's operations, in their wire form."""

from msgspec import Struct

from frostpost.program_ledger.messages import ProgramResult

from .entities import HistoryLine, Runner


class Done(Struct, array_like=True, frozen=True, tag="done"):
    """The operation took effect at this index."""

    index: int


class Reserved(Struct, array_like=True, frozen=True, tag="reserved"):
    """A reservation: its number, runner, units and the program's history so far."""

    index: int
    runner: Runner
    amount: int
    lines: tuple[HistoryLine, ...]


class Won(Struct, array_like=True, frozen=True, tag="won"):
    """The caller owns the key."""

    index: int


class Shared(Struct, array_like=True, frozen=True, tag="shared"):
    """Another call owns the key: its state and, once done, its result."""

    status: str
    result: bytes


class ConfigSet(Struct, array_like=True, frozen=True, tag="configSet"):
    """The new version of a document and its index."""

    version: int
    index: int


class ManySet(Struct, array_like=True, frozen=True, tag="manySet"):
    """The new versions of documents that were changed as one."""

    versions: tuple[tuple[str, int], ...]
    index: int


class VotersSet(Struct, array_like=True, frozen=True, tag="votersSet"):
    """The new voters."""

    voters: tuple[str, ...]


class BudgetSpent(Struct, array_like=True, frozen=True, tag="BudgetSpent"):
    """The program's budget leaves nothing to reserve."""

    budget: int
    spent: int


class TurnOpen(Struct, array_like=True, frozen=True, tag="TurnOpen"):
    """The program has another turn running."""

    program: str


class NoRunner(Struct, array_like=True, frozen=True, tag="NoRunner"):
    """None of the candidates has room."""

    candidates: int


class StaleConfig(Struct, array_like=True, frozen=True, tag="StaleConfig"):
    """A document is at another version than the caller expects."""

    path: str
    version: int


class KeyReused(Struct, array_like=True, frozen=True, tag="KeyReused"):
    """The key was claimed with another request."""

    key: str


class NotHeld(Struct, array_like=True, frozen=True, tag="NotHeld"):
    """What the operation refers to is not held by its sender."""

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
