"""Operations on the program ledger and their results.

Times are in milliseconds of the ledger's clock. The structs are encoded by position and tag, so the order of their
fields is part of the format.
"""

from msgspec import Struct

from .key_messages import KeyOperation, KeyResult
from .task_messages import TaskOperation, TaskResult


class Candidate(Struct, array_like=True, frozen=True):
    """A runner on which the attempt may be placed; `penalty` is an additional cost in tokens."""

    runner: str
    slots: int
    penalty: int = 0


class BeginAttempt(Struct, array_like=True, frozen=True, tag="begin"):
    """Reserve `amount` tokens of a program's budget and a runner for one attempt at a turn.

    `parts` are the prompt's leading parts with their tokens. `pool` to `deadline_in_ms` are for the leader, which
    queues the operation while no candidate has a free slot: the service, the rank of the route (lowest first), the
    longest time in the queue, and the time remaining until the program's deadline. `credential` identifies the client's
    credential, if there is one and the ids carry no tenant.
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
    credential: str = ""


class ReassignAttempt(Struct, array_like=True, frozen=True, tag="move"):
    """Assign another runner to an open attempt that no runner has executed; `number` counts from 1 for each attempt."""

    attempt: str
    candidates: tuple[Candidate, ...]
    number: int = 1


class EndAttempt(Struct, array_like=True, frozen=True, tag="end"):
    """End an attempt with its output tokens; kept for `retention_ms`, if positive, as a turn to follow."""

    attempt: str
    tokens: int
    retention_ms: int = 0
    size: int = 0


class AbortAttempt(Struct, array_like=True, frozen=True, tag="abort"):
    """End an attempt that no runner has executed or will execute."""

    attempt: str


class AdoptedCredentials(Struct, array_like=True, frozen=True):
    """Credentials of a tenant that no earlier version of the routing knew, as `BeginAttempt` identifies them."""

    tenant: str
    credentials: tuple[str, ...]


class SetRouting(Struct, array_like=True, frozen=True, tag="setRouting"):
    """Replace version `base` of the routing by `version`.

    `digest` identifies the requested change and is retained for `retention_ms`.
    """

    base: int
    version: int
    body: bytes
    digest: bytes
    retention_ms: int
    adopted: tuple[AdoptedCredentials, ...] = ()


class ReadRouting(Struct, array_like=True, frozen=True, tag="lookRouting"):
    """Read the routing, and whether the change with this version and digest was accepted."""

    version: int = 0
    digest: bytes = b""


class RetireReplica(Struct, array_like=True, frozen=True, tag="retire"):
    """Start the retirement of a storage daemon, if at least `min_remaining` others remain."""

    name: str
    known: bool
    min_remaining: int


class CompleteRetirement(Struct, array_like=True, frozen=True, tag="retired"):
    """Record that a storage daemon has completed its retirement."""

    name: str


class ReadRetirement(Struct, array_like=True, frozen=True, tag="lookRetired"):
    """Read the state of a storage daemon's retirement."""

    name: str


ProgramOperation = (
    BeginAttempt
    | ReassignAttempt
    | EndAttempt
    | AbortAttempt
    | KeyOperation
    | SetRouting
    | ReadRouting
    | RetireReplica
    | CompleteRetirement
    | ReadRetirement
    | TaskOperation
)


class AttemptBegun(Struct, array_like=True, frozen=True, tag="begun"):
    """The attempt is open on this runner; `chain` names the turns that precede it, oldest first."""

    runner: str
    chain: tuple[str, ...]


class AttemptEnded(Struct, array_like=True, frozen=True, tag="ended"):
    """The operation took effect, now or when it was first applied."""


class NoTurn(Struct, array_like=True, frozen=True, tag="NoTurn"):
    """The turn to follow is not retained."""

    turn: str


class TokensSpent(Struct, array_like=True, frozen=True, tag="TokensSpent"):
    """The program's budget is exhausted."""

    budget: int
    spent: int


class NoCapacity(Struct, array_like=True, frozen=True, tag="NoPlace"):
    """No candidate has a free slot; retry after `wait_ms`."""

    wait_ms: int


class NoAttempt(Struct, array_like=True, frozen=True, tag="NoAttempt"):
    """The attempt does not exist or has ended."""

    attempt: str


class RoutingSet(Struct, array_like=True, frozen=True, tag="routingSet"):
    """The change was accepted as this version."""

    version: int


class RoutingConflict(Struct, array_like=True, frozen=True, tag="RoutingMoved"):
    """The routing is at this version, not at the base of the change."""

    version: int


class RoutingState(Struct, array_like=True, frozen=True, tag="routingHeld"):
    """The current routing; `taken`: the change in the operation was accepted.

    `uncertain`: it may have been accepted and evicted since.
    """

    version: int
    body: bytes
    taken: bool = False
    uncertain: bool = False


class RoutingForgotten(Struct, array_like=True, frozen=True, tag="RoutingForgotten"):
    """The change of this version may have been accepted and evicted since."""

    version: int


class RetirementState(Struct, array_like=True, frozen=True, tag="retireState"):
    """State of a retirement: unknown, few, in_service or completed."""

    state: str


ProgramResult = (
    AttemptBegun
    | AttemptEnded
    | NoTurn
    | TokensSpent
    | NoCapacity
    | NoAttempt
    | KeyResult
    | RoutingSet
    | RoutingConflict
    | RoutingState
    | RoutingForgotten
    | RetirementState
    | TaskResult
)
