"""Operations on the ledger, in their wire form."""

from msgspec import Struct

from frostpost.program_ledger.messages import ProgramOperation
from frostpost.virtual_synchrony.events import OpenPrimary, SetVoters

from .entities import HistoryLine, Runner


class Tick(Struct, array_like=True, frozen=True, tag="tick"):
    """Advance the ledger's clock by elapsed milliseconds; only the holder of the duty may."""

    fence: int
    elapsed_ms: int


class Reserve(Struct, array_like=True, frozen=True, tag="reserve"):
    """Reserve budget and a runner for a turn, from candidates in order of preference."""

    program: str
    amount: int
    budget: int
    retention_ms: int
    pools: tuple[str, ...]
    candidates: tuple[tuple[str, str], ...]
    config_versions: tuple[tuple[str, int], ...]
    budget_retention_ms: int = 0


class Settle(Struct, array_like=True, frozen=True, tag="settle"):
    """End a turn that ran: units used and the line for the history, None if it was cut."""

    reservation: int
    used: int
    line: HistoryLine | None


class Release(Struct, array_like=True, frozen=True, tag="release"):
    """End a turn that never ran."""

    reservation: int


class ClaimKey(Struct, array_like=True, frozen=True, tag="claim"):
    """Claim an idempotency key for one request digest."""

    key: str
    digest: str
    window_ms: int


class Finish(Struct, array_like=True, frozen=True, tag="finish"):
    """Record the outcome of a claimed key."""

    key: str
    status: str
    result: bytes


class Unclaim(Struct, array_like=True, frozen=True, tag="unclaim"):
    """Give up a claimed key whose work never ran."""

    key: str


class Runners(Struct, array_like=True, frozen=True, tag="runners"):
    """Replace the list of runners."""

    fence: int
    entries: tuple[Runner, ...]


class Drain(Struct, array_like=True, frozen=True, tag="drain"):
    """Mark a runner as draining, or take the mark away."""

    runner: str
    leaving: bool


class SetConfig(Struct, array_like=True, frozen=True, tag="config"):
    """Change one configuration document, compared with its version and those of its bases."""

    path: str
    digest: str
    size: int
    if_version: int
    source: str
    number: int
    bases: tuple[tuple[str, int], ...]


class Change(Struct, array_like=True, frozen=True):
    """One document's change within a SetMany."""

    path: str
    digest: str
    size: int
    if_version: int
    source: str
    number: int


class SetMany(Struct, array_like=True, frozen=True, tag="many"):
    """Change several documents as one, compared with the index of the last change."""

    changes: tuple[Change, ...]
    index: int


class Rules(Struct, array_like=True, frozen=True, tag="rules"):
    """Raise the version of the rules that the ledger goes by."""

    version: int


class Fire(Struct, array_like=True, frozen=True, tag="fire"):
    """Record that a calendar fired at a wall-clock second, with its change if it has one."""

    fence: int
    path: str
    at_s: int
    change: SetConfig | None


# The rules of the ledger from which on a voter that is no member may be exchanged in one step.
VOTER_EXCHANGE_RULES = 3


class Look(Struct, array_like=True, frozen=True, tag="look"):
    """Take a place in the order without changing anything: a linearizable read."""


class Ballot(Struct, array_like=True, frozen=True, tag="ballot"):
    """A vote for the holder of a duty."""

    role: str
    round: int
    candidate: str


Operation = (
    OpenPrimary
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
    | ProgramOperation
)
