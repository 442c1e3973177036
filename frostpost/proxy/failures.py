"""Failures reported to clients.

`not_executed` is True for failures that guarantee that no runner executed the request or will execute it.
"""

from msgspec import Struct


class NoRoute(Struct, frozen=True, tag="NoRoute"):
    """No route matches the host and path."""

    not_executed = True


class InvalidCredential(Struct, frozen=True, tag="InvalidCredential"):
    """The route requires a credential, and the request has none that the configuration knows."""

    not_executed = True


class BadRequest(Struct, frozen=True, tag="BadRequest"):
    """The request is malformed or ambiguous."""

    why: str
    not_executed = True


class UnknownTurn(Struct, frozen=True, tag="UnknownTurn"):
    """The referenced turn is not retained."""

    not_executed = True


class BudgetSpent(Struct, frozen=True, tag="BudgetSpent"):
    """The program has used up its token budget."""

    not_executed = True


class AtWork(Struct, frozen=True, tag="AtWork"):
    """The first request with this idempotency key is still running, or its outcome is unknown."""

    not_executed = True


class Unavailable(Struct, frozen=True, tag="Unavailable"):
    """There is no lease, no ledger decision or no turn body available; the client may retry after retry_ms."""

    retry_ms: int
    why: str = ""
    not_executed = True


class Overloaded(Struct, frozen=True, tag="Overloaded"):
    """No runner has a free slot, or too little time is left; the client may retry after retry_ms."""

    retry_ms: int
    not_executed = True


class Leaving(Struct, frozen=True, tag="Leaving"):
    """This daemon is shutting down; the client should retry at another one."""

    not_executed = True


class Unknown(Struct, frozen=True, tag="Unknown"):
    """The request was sent but no complete response was received: it may have been executed."""

    why: str = ""
    not_executed = False


class TimedOut(Struct, frozen=True, tag="TimedOut"):
    """The request was sent and its deadline passed: it may have been executed."""

    not_executed = False
