"""Operations and verdicts of programs as trees of turns; one total order decides them.

Times are milliseconds of the ledger's own clock, tokens are whole numbers, ids are text.
"""

from msgspec import Struct


class Candidate(Struct, array_like=True, frozen=True):
    """A runner that the asking daemon may send to: its id, its slots, extra cost in tokens."""

    runner: str
    slots: int
    penalty: int = 0


class BeginAttempt(Struct, array_like=True, frozen=True, tag="begin"):
    """Reserve `amount` tokens of a program's budget and a runner for one attempt at a turn.

    The last four fields are for the leader that it waits at while no candidate has a slot: the service it asks for,
    the rank of its route (0 first), how long it may wait, and the time left to its program's deadline.
    """

    attempt: str
    program: str
    budget: int
    amount: int
    previous: str
    remaining_ms: int
    candidates: tuple[Candidate, ...]
    parts: tuple[tuple[str, int], ...] = ()
    line: str = ""
    prompt_tokens: int = 0
    cache_tokens: int = 0
    pool: str = ""
    rank: int = 0
    max_queue_ms: int = 0
    deadline_in_ms: int = 0


class ReassignAttempt(Struct, array_like=True, frozen=True, tag="move"):
    """Give an open attempt that no runner has run another runner; number: 1 for its first move, and so on."""

    attempt: str
    candidates: tuple[Candidate, ...]
    number: int = 1


class EndAttempt(Struct, array_like=True, frozen=True, tag="end"):
    """An attempt put out `tokens`; with `keep_ms` above 0 it becomes a turn that others may follow."""

    attempt: str
    tokens: int
    keep_ms: int = 0
    size: int = 0


class AbortAttempt(Struct, array_like=True, frozen=True, tag="abort"):
    """No runner ran the attempt and none will."""

    attempt: str


class ClaimOperationKey(Struct, array_like=True, frozen=True, tag="claimKey"):
    """Claim an operation key for an attempt."""

    key: str
    attempt: str
    window_ms: int


class ResolveOperationKey(Struct, array_like=True, frozen=True, tag="resolveKey"):
    """Record the answer of a claimed key."""

    key: str
    attempt: str
    answer: bytes


class ReleaseOperationKey(Struct, array_like=True, frozen=True, tag="disclaimKey"):
    """The claimed key's work was not run and never will be."""

    key: str
    attempt: str


class SetRouting(Struct, array_like=True, frozen=True, tag="setRouting"):
    """Replace the routing `base` by `version`. digest: of the change as asked for, remembered for `keep_ms`."""

    base: int
    version: int
    body: bytes
    digest: bytes
    keep_ms: int


class ReadRouting(Struct, array_like=True, frozen=True, tag="lookRouting"):
    """Read the routing, and whether the change of this number and digest was taken."""

    version: int = 0
    digest: bytes = b""


class RetireReplica(Struct, array_like=True, frozen=True, tag="retire"):
    """Begin to empty a storage daemon; least: how many others must remain."""

    name: str
    known: bool
    min_remaining: int


class CompleteRetirement(Struct, array_like=True, frozen=True, tag="retired"):
    """A storage daemon has been emptied."""

    name: str


class ReadRetirement(Struct, array_like=True, frozen=True, tag="lookRetired"):
    """Read how far the retirement of a storage daemon is."""

    name: str


ProgramOperation = (
    BeginAttempt
    | ReassignAttempt
    | EndAttempt
    | AbortAttempt
    | ClaimOperationKey
    | ResolveOperationKey
    | ReleaseOperationKey
    | SetRouting
    | ReadRouting
    | RetireReplica
    | CompleteRetirement
    | ReadRetirement
)


class AttemptBegun(Struct, array_like=True, frozen=True, tag="begun"):
    """The runner, the turns whose bodies come first (oldest first), and what the program may still put out."""

    runner: str
    chain: tuple[str, ...]


class AttemptEnded(Struct, array_like=True, frozen=True, tag="ended"):
    """The operation took effect, or had before."""


class NoTurn(Struct, array_like=True, frozen=True, tag="NoTurn"):
    """The turn to follow is not kept."""

    turn: str


class TokensSpent(Struct, array_like=True, frozen=True, tag="TokensSpent"):
    """The program's budget leaves no attempt."""

    budget: int
    spent: int


class NoCapacity(Struct, array_like=True, frozen=True, tag="NoPlace"):
    """No candidate has room; `wait_ms` is when to come back."""

    wait_ms: int


class NoAttempt(Struct, array_like=True, frozen=True, tag="NoAttempt"):
    """There is no such attempt, or it has ended."""

    attempt: str


class KeyClaimed(Struct, array_like=True, frozen=True, tag="claimed"):
    """The attempt owns the key."""


class KeyInProgress(Struct, array_like=True, frozen=True, tag="KeyAtWork"):
    """Another attempt owns the key and has no answer yet."""


class KeyAnswered(Struct, array_like=True, frozen=True, tag="keyAnswered"):
    """The key has an answer."""

    answer: bytes


class RoutingSet(Struct, array_like=True, frozen=True, tag="routingSet"):
    """The change led to this version."""

    version: int


class RoutingConflict(Struct, array_like=True, frozen=True, tag="RoutingMoved"):
    """The routing is at this version, not at the one that the change names."""

    version: int


class RoutingState(Struct, array_like=True, frozen=True, tag="routingHeld"):
    """The routing. taken: whether the change asked about led to a version; uncertain: whether that is forgotten."""

    version: int
    body: bytes
    taken: bool = False
    uncertain: bool = False


class RoutingForgotten(Struct, array_like=True, frozen=True, tag="RoutingForgotten"):
    """The change may have been taken, longer ago than is remembered."""

    version: int


class RetirementState(Struct, array_like=True, frozen=True, tag="retireState"):
    """state: unknown, few, in_service or completed."""

    state: str


ProgramResult = (
    AttemptBegun
    | AttemptEnded
    | NoTurn
    | TokensSpent
    | NoCapacity
    | NoAttempt
    | KeyClaimed
    | KeyInProgress
    | KeyAnswered
    | RoutingSet
    | RoutingConflict
    | RoutingState
    | RoutingForgotten
    | RetirementState
)
