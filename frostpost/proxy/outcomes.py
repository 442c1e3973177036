"""How one send to one runner ended."""

from msgspec import Struct


class NotSent(Struct, frozen=True, tag="NotSent"):
    """No byte of the request was written."""

    why: str


class NotRun(Struct, frozen=True, tag="NotRun"):
    """The runner said that it did not run it."""

    status: int


class Broken(Struct, frozen=True, tag="Broken"):
    """It was sent and no whole answer of its own came: it may have run."""

    why: str


class Whole(Struct, frozen=True, tag="Whole"):
    """Its answer came whole, piece by piece."""


class Answer(Struct, frozen=True, tag="Answer"):
    """A whole answer whose body was held back until it was whole."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Late(Struct, frozen=True, tag="Late"):
    """Its time passed after it was sent: it may have run."""


class ClientLeft(Struct, frozen=True, tag="ClientLeft"):
    """The client left after it was sent: it may have run."""
