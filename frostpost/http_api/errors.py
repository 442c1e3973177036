"""Errors of the daemon's HTTP interface, each with its status code, text and retry delay."""

from msgspec import Struct, json, structs

from frostpost.daemon.errors import NoPrimary as NoPrimary
from frostpost.daemon.errors import Overfilled as Overfilled
from frostpost.daemon.errors import Undecided as Undecided


class Unknown(Struct, frozen=True, tag="Unknown"):
    """It is not known whether the request ran."""

    text: str = "the outcome is not known: it may have run"
    status: int = 502


class Leaving(Struct, frozen=True, tag="Leaving"):
    """This daemon is shutting down."""

    text: str = "this daemon is leaving; nothing was run"
    status: int = 503
    retry_ms: int = 200


class Crowded(Struct, frozen=True, tag="Crowded"):
    """Too many requests are in flight."""

    text: str = "too many requests are here at once; nothing was run"
    status: int = 429
    retry_ms: int = 1000


class RunnersFull(Struct, frozen=True, tag="RunnersFull"):
    """No runner that the route may use has a free slot."""

    text: str = "no runner that this route may use has room; nothing was run"
    status: int = 503
    retry_ms: int = 500


class DeadlineExceeded(Struct, frozen=True, tag="DeadlineExceeded"):
    """The deadline passed before anything ran."""

    text: str = "the deadline passed before anything was run"
    status: int = 504
    retry_ms: int = 1000


class StillRunning(Struct, frozen=True, tag="StillRunning"):
    """Another attempt with the same idempotency key is running."""

    text: str = "another attempt with this key is still running; come back for its result"
    status: int = 503
    retry_ms: int = 1000


class BadBody(Struct, frozen=True, tag="BadBody"):
    """The request's body is not valid; path: JSON pointer to the invalid field."""

    path: str
    text: str
    status: int = 400


class TooLong(Struct, frozen=True, tag="TooLong"):
    """The body is longer than allowed; most: the limit in bytes."""

    most: int
    text: str = "the body is too long"
    status: int = 413


class NoRoute(Struct, frozen=True, tag="NoRoute"):
    """The tenant has no such route."""

    text: str
    status: int = 404


class NoSuch(Struct, frozen=True, tag="NoSuch"):
    """There is no resource of that name."""

    text: str
    status: int = 404


class WrongMethod(Struct, frozen=True, tag="WrongMethod"):
    """The path does not support this method."""

    text: str = "this path doesn't take this method"
    status: int = 405


class BudgetGone(Struct, frozen=True, tag="BudgetGone"):
    """The program's budget is spent."""

    budget: int
    spent: int
    text: str = "the program's budget is spent"
    status: int = 402


class TurnRunning(Struct, frozen=True, tag="TurnRunning"):
    """The program has another turn in progress."""

    text: str = "this program has another turn running; nothing was run"
    status: int = 409
    retry_ms: int = 500


class ConfigMoved(Struct, frozen=True, tag="ConfigMoved"):
    """The document's version is not the one that the client expects."""

    path: str
    version: int
    text: str = "the configuration moved; nothing took effect"
    status: int = 412


class ConfigInUse(Struct, frozen=True, tag="ConfigInUse"):
    """The template is used by tenants and can't be removed."""

    path: str
    text: str
    status: int = 409


class OlderRules(Struct, frozen=True, tag="OlderRules"):
    """A daemon of an earlier software version is still a member."""

    text: str = "a daemon of the version before is still here; finish the roll-out first"
    status: int = 503
    retry_ms: int = 5000


class ConfigChanging(Struct, frozen=True, tag="ConfigChanging"):
    """This daemon has not activated the current configuration yet."""

    text: str = "the configuration is just changing; nothing was run"
    status: int = 503
    retry_ms: int = 300


class ConfigInvalid(Struct, frozen=True, tag="ConfigInvalid"):
    """The document is not valid; errors: every error with its path."""

    errors: tuple
    text: str = "the configuration is not valid; nothing took effect"
    status: int = 422


class ConfigUnknown(Struct, frozen=True, tag="ConfigUnknown"):
    """It is not known whether every daemon has activated the change."""

    text: str = "not every daemon has confirmed the configuration; read it back before trying again"
    status: int = 504
    retry_ms: int = 2000


class VotersRefused(Struct, frozen=True, tag="VotersRefused"):
    """The change of voters is not allowed."""

    text: str
    status: int = 409


class KeyMismatch(Struct, frozen=True, tag="KeyMismatch"):
    """The idempotency key was used with another body."""

    text: str = "this key was used with another body"
    status: int = 422


class RunnerError(Struct, frozen=True, tag="RunnerError"):
    """The runner's response is not valid."""

    runner: str
    text: str
    status: int = 502


class OutputCut(Struct, frozen=True, tag="OutputCut"):
    """The runner sent more units than were reserved."""

    amount: int
    text: str = "the runner went past what was reserved; the output was cut"
    status: int = 502


class TooSlow(Struct, frozen=True, tag="TooSlow"):
    """The client read too slowly."""

    text: str = "the answer was not taken for too long; the output was cut"
    status: int = 502


class Internal(Struct, frozen=True, tag="Internal"):
    """An unexpected error; the outcome is not known."""

    text: str = "an unexpected error; the outcome is not known"
    status: int = 500


def to_dict(error):
    """Return an error's fields, without the status code, and its type as a dict."""
    fields = {k: v for k, v in structs.asdict(error).items() if k != "status"}
    return {"type": type(error).__name__, **fields}


def encode_error(error, request_id):
    """Return the JSON body of an error response."""
    return json.encode({"error": to_dict(error), "request": request_id})


def retry_after(error):
    """Return the Retry-After header in whole seconds, rounded up; None for an error that isn't retryable."""
    wait_ms = getattr(error, "retry_ms", None)
    if wait_ms is None:
        return None
    return str(max(1, (wait_ms + 999) // 1000))
