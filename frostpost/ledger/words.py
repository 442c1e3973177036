from msgspec import Struct

from frostpost.program_ledger.words import CoppiceOp, CoppiceVerdict
from frostpost.virtual_synchrony.events import Open, SetVoters
from frostpost.virtual_synchrony.words import Member

from .records import Line, Runner


class Duty(Struct, array_like=True):
    holder: Member | None = None
    fence: int = 0
    round: int = 1
    ballots: dict[str, str] = {}


class Tick(Struct, array_like=True, frozen=True, tag="tick"):
    fence: int
    elapsed_ms: int


class Reserve(Struct, array_like=True, frozen=True, tag="reserve"):
    program: str
    amount: int
    budget: int
    keep_ms: int
    pools: tuple[str, ...]
    candidates: tuple[tuple[str, str], ...]
    marks: tuple[tuple[str, int], ...]
    budget_keep_ms: int = 0


class Settle(Struct, array_like=True, frozen=True, tag="settle"):
    reservation: int
    used: int
    line: Line | None


class Release(Struct, array_like=True, frozen=True, tag="release"):
    reservation: int


class ClaimKey(Struct, array_like=True, frozen=True, tag="claim"):
    key: str
    digest: str
    window_ms: int


class Finish(Struct, array_like=True, frozen=True, tag="finish"):
    key: str
    status: str
    verdict: bytes


class Unclaim(Struct, array_like=True, frozen=True, tag="unclaim"):
    key: str


class Runners(Struct, array_like=True, frozen=True, tag="runners"):
    fence: int
    entries: tuple[Runner, ...]


class Drain(Struct, array_like=True, frozen=True, tag="drain"):
    runner: str
    leaving: bool


class SetConfig(Struct, array_like=True, frozen=True, tag="config"):
    path: str
    digest: str
    size: int
    if_version: int
    source: str
    number: int
    bases: tuple[tuple[str, int], ...]


class Change(Struct, array_like=True, frozen=True):
    path: str
    digest: str
    size: int
    if_version: int
    source: str
    number: int


class SetMany(Struct, array_like=True, frozen=True, tag="many"):
    changes: tuple[Change, ...]
    index: int


class Rules(Struct, array_like=True, frozen=True, tag="rules"):
    version: int


class Fire(Struct, array_like=True, frozen=True, tag="fire"):
    fence: int
    path: str
    at_s: int
    change: SetConfig | None


# The rules of the ledger from which on a voter that is no member may be exchanged in one step.
SWAP_RULES = 3


class Look(Struct, array_like=True, frozen=True, tag="look"):
    pass


class Ballot(Struct, array_like=True, frozen=True, tag="ballot"):
    duty: str
    round: int
    candidate: str


Op = (
    Open
    | Tick
    | Reserve
    | Settle
    | Release
    | ClaimKey
    | Finish
    | Unclaim
    | Runners
    | Drain
    | SetConfig
    | Fire
    | Look
    | Ballot
    | SetVoters
    | SetMany
    | Rules
    | CoppiceOp
)


class Done(Struct, array_like=True, frozen=True, tag="done"):
    index: int


class Reserved(Struct, array_like=True, frozen=True, tag="reserved"):
    index: int
    runner: Runner
    amount: int
    lines: tuple[Line, ...]


class Won(Struct, array_like=True, frozen=True, tag="won"):
    index: int


class Shared(Struct, array_like=True, frozen=True, tag="shared"):
    status: str
    verdict: bytes


class ConfigSet(Struct, array_like=True, frozen=True, tag="configSet"):
    version: int
    index: int


class ManySet(Struct, array_like=True, frozen=True, tag="manySet"):
    versions: tuple[tuple[str, int], ...]
    index: int


class VotersSet(Struct, array_like=True, frozen=True, tag="votersSet"):
    voters: tuple[str, ...]


class BudgetSpent(Struct, array_like=True, frozen=True, tag="BudgetSpent"):
    budget: int
    spent: int


class TurnOpen(Struct, array_like=True, frozen=True, tag="TurnOpen"):
    program: str


class NoRunner(Struct, array_like=True, frozen=True, tag="NoRunner"):
    asked: int


class StaleConfig(Struct, array_like=True, frozen=True, tag="StaleConfig"):
    path: str
    version: int


class KeyReused(Struct, array_like=True, frozen=True, tag="KeyReused"):
    key: str


class NotHeld(Struct, array_like=True, frozen=True, tag="NotHeld"):
    what: str


class Fenced(Struct, array_like=True, frozen=True, tag="Fenced"):
    fence: int


Verdict = (
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
    | CoppiceVerdict
)
