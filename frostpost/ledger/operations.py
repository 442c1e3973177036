"""Operations on the ledger, as encoded in ordered entries."""

from msgspec import Struct

from frostpost.program_ledger.messages import ProgramOperation
from frostpost.virtual_synchrony.events import OpenPrimary, SetVoters

from .entities import HistoryEntry, Runner


class Tick(Struct, array_like=True, frozen=True, tag="tick"):
    """Advance the ledger's clock; accepted only from the holder of the role "ticks"."""

    fence: int
    elapsed_ms: int


class Reserve(Struct, array_like=True, frozen=True, tag="reserve"):
    """Reserve budget units and a runner for a turn.

    `candidates` are pairs of a runner's name and instance in order of preference; `config_versions` are the versions of
    the documents that the route was made from.
    """

    program: str
    amount: int
    budget: int
    retention_ms: int
    pools: tuple[str, ...]
    candidates: tuple[tuple[str, str], ...]
    config_versions: tuple[tuple[str, int], ...]
    budget_retention_ms: int = 0


class Settle(Struct, array_like=True, frozen=True, tag="settle"):
    """End an executed turn with the units used and its history entry, None if the output was incomplete."""

    reservation: int
    used: int
    line: HistoryEntry | None


class Release(Struct, array_like=True, frozen=True, tag="release"):
    """End a turn that was never executed."""

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
    """Release a claimed key whose request was never executed."""

    key: str


class Runners(Struct, array_like=True, frozen=True, tag="runners"):
    """Replace the list of runners."""

    fence: int
    entries: tuple[Runner, ...]


class Drain(Struct, array_like=True, frozen=True, tag="drain"):
    """Set or clear the draining state of a runner."""

    runner: str
    leaving: bool


class SetConfig(Struct, array_like=True, frozen=True, tag="config"):
    """Set one configuration document, if it and its bases are at the given versions.

    `bases` are the documents that it was validated against; an empty digest removes the document.
    """

    path: str
    digest: str
    size: int
    if_version: int
    source: str
    number: int
    bases: tuple[tuple[str, int], ...]


class Change(Struct, array_like=True, frozen=True):
    """Change of one document within a SetMany."""

    path: str
    digest: str
    size: int
    if_version: int
    source: str
    number: int


class SetMany(Struct, array_like=True, frozen=True, tag="many"):
    """Set several documents atomically, if `index` is still that of the last change."""

    changes: tuple[Change, ...]
    index: int


class Rules(Struct, array_like=True, frozen=True, tag="rules"):
    """Raise the version of the ledger's rules."""

    version: int


class Fire(Struct, array_like=True, frozen=True, tag="fire"):
    """Record that a calendar fired at a wall-clock second, with its configuration change, if any."""

    fence: int
    path: str
    at_s: int
    change: SetConfig | None


# First version of the rules that allows replacing a voter that is not a member in one step.
VOTER_EXCHANGE_RULES = 3
# First version of the rules with the operations of platform tasks, which earlier builds can't decode.
TASK_RULES = 4


class Look(Struct, array_like=True, frozen=True, tag="look"):
    """Ordered no-op, for a linearizable read."""


class Ballot(Struct, array_like=True, frozen=True, tag="ballot"):
    """Vote for the holder of a singleton role."""

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
