"""Failures of a request; `promised` means that it has not run and never will."""

from msgspec import Struct


class NoRoute(Struct, frozen=True, tag="NoRoute"):
    """No route of the host begins the path."""

    promised = True


class BadRequest(Struct, frozen=True, tag="BadRequest"):
    """The request cannot be read, or could be read as another."""

    why: str
    promised = True


class UnknownTurn(Struct, frozen=True, tag="UnknownTurn"):
    """No such turn is kept."""

    promised = True


class BudgetSpent(Struct, frozen=True, tag="BudgetSpent"):
    """The program has put out the tokens that it may."""

    promised = True


class AtWork(Struct, frozen=True, tag="AtWork"):
    """The key's first request is still running, or how it ended is not known."""

    promised = True


class Unavailable(Struct, frozen=True, tag="Unavailable"):
    """No lease, no order, or a body out of reach; come back after retry_ms."""

    retry_ms: int
    why: str = ""
    promised = True


class Overloaded(Struct, frozen=True, tag="Overloaded"):
    """No runner has room, or no time is left; come back after retry_ms."""

    retry_ms: int
    promised = True


class Leaving(Struct, frozen=True, tag="Leaving"):
    """This daemon is shutting down; come back to another one."""

    promised = True


class Unknown(Struct, frozen=True, tag="Unknown"):
    """It was sent and no whole answer came: it may have run."""

    why: str = ""
    promised = False


class TimedOut(Struct, frozen=True, tag="TimedOut"):
    """It was sent and its time passed: it may have run."""

    promised = False
