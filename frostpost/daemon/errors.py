"""Why an operation that was submitted has no result; each has its HTTP status code and when to come back."""

from msgspec import Struct


class Overfilled(Struct, frozen=True, tag="Overfilled"):
    """The outbox of operations is full."""

    text: str = "too much is waiting to be ordered; nothing was run"
    status: int = 503
    retry_ms: int = 1000


class NoPrimary(Struct, frozen=True, tag="NoPrimary"):
    """This daemon has no lease."""

    text: str = "this daemon is not with the majority of the storage machines; nothing was run"
    status: int = 503
    retry_ms: int = 1000


class Undecided(Struct, frozen=True, tag="Undecided"):
    """An operation was not ordered in time."""

    text: str = "the order was not settled in time; nothing was run"
    status: int = 503
    retry_ms: int = 1000
