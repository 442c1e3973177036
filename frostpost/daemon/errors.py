"""Errors of operations that were submitted without a result, each with an HTTP status code and a time for a retry."""

from msgspec import Struct


class Overfilled(Struct, frozen=True, tag="Overfilled"):
    """The queue of operations that wait to be ordered is full."""

    text: str = "too much is waiting to be ordered; nothing was run"
    status: int = 503
    retry_ms: int = 1000


class NoPrimary(Struct, frozen=True, tag="NoPrimary"):
    """This daemon holds no lease."""

    text: str = "this daemon is not with the majority of the storage machines; nothing was run"
    status: int = 503
    retry_ms: int = 1000


class Undecided(Struct, frozen=True, tag="Undecided"):
    """The operation was not ordered before its timeout."""

    text: str = "the order was not settled in time; nothing was run"
    status: int = 503
    retry_ms: int = 1000
