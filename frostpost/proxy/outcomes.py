"""Outcomes of sending a request to one runner."""

from msgspec import Struct


class NotSent(Struct, frozen=True, tag="NotSent"):
    """No byte of the request was written."""

    why: str


class NotRun(Struct, frozen=True, tag="NotRun"):
    """The runner refused the request without executing it."""

    status: int


class Broken(Struct, frozen=True, tag="Broken"):
    """The request was sent but no complete, valid response was received: it may have been executed."""

    why: str


class Whole(Struct, frozen=True, tag="Whole"):
    """The response was received completely and streamed."""


class Answer(Struct, frozen=True, tag="Answer"):
    """A complete response with a buffered body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Late(Struct, frozen=True, tag="Late"):
    """The deadline passed after the request was sent: it may have been executed."""


class ClientLeft(Struct, frozen=True, tag="ClientLeft"):
    """The client disconnected after the request was sent: it may have been executed."""
