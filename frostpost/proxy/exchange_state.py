"""Pure state machine of one request sent to one runner.

    Queued --Written--> MaybeSent --HeadRead--> ReceivingBody --BodyEnded--> Ended(Whole)
       |                  |  \\                   |
       |                  |   --refusal--> Ended(NotRun)
       --NotWritten--> Ended(NotSent)            --ConnectionFailed--> Ended(Broken)

From the first byte written until a refusal is read, the runner may have started to execute the request. Only `NotSent`
and `NotRun` guarantee that it did not. `Ended` is final: later events are ignored.
"""

from msgspec import Struct

from .models import RunnerHead
from .outcomes import Broken, NotRun, NotSent, Whole

REFUSAL_STATUSES = (408, 429, 503)
MISDIRECTED = 421


class Queued(Struct, frozen=True, tag=True):
    """Waiting for a connection; nothing has been written."""


class MaybeSent(Struct, frozen=True, tag=True):
    """The request was written. fresh: it is the first on its connection, so no earlier response can be read."""

    fresh: bool


class ReceivingBody(Struct, frozen=True, tag=True):
    """A valid response head was read; the body is being received."""

    head: RunnerHead


class Ended(Struct, frozen=True, tag=True):
    """Final state. outcome: None if cancelled. may_have_run: whether the runner may have started executing."""

    outcome: NotSent | NotRun | Broken | Whole | None
    may_have_run: bool


class NotWritten(Struct, frozen=True, tag=True):
    """The request may not be sent, or the connection attempt failed."""

    reason: str


class Written(Struct, frozen=True, tag=True):
    """The whole request was handed to a connection."""

    fresh: bool


class HeadRead(Struct, frozen=True, tag=True):
    """A response head was read."""

    head: RunnerHead


class DataRead(Struct, frozen=True, tag=True):
    """A piece of the response body was read."""

    data: bytes


class BodyEnded(Struct, frozen=True, tag=True):
    """The last byte of the response body was read, according to its framing."""


class ConnectionFailed(Struct, frozen=True, tag=True):
    """The connection was reset, closed or timed out, or the response is malformed."""

    reason: str


class Cancelled(Struct, frozen=True, tag=True):
    """The client disconnected or the deadline passed."""


class ForwardHead(Struct, frozen=True, tag=True):
    """Forward the response head."""

    head: RunnerHead


class ForwardData(Struct, frozen=True, tag=True):
    """Forward a piece of the response body."""

    data: bytes


class Finish(Struct, frozen=True, tag=True):
    """Report the outcome; the last action of an exchange."""

    outcome: NotSent | NotRun | Broken | Whole


class AbortConnection(Struct, frozen=True, tag=True):
    """Abort the connection: nothing further read from it may be used."""


class DrainConnection(Struct, frozen=True, tag=True):
    """Read the rest of a refusal, so that the connection can be reused."""


ABORT_CONNECTION, DRAIN_CONNECTION = AbortConnection(), DrainConnection()


def may_have_run(state):
    """Return whether the runner may have started to execute the request."""
    if isinstance(state, Ended):
        return state.may_have_run
    return not isinstance(state, Queued)


def rejection_reason(head, call, fresh):
    """Return why a response head cannot be accepted for the request, or an empty string.

    fresh: the first exchange on its connection; there a refusal without an attempt id can only belong to this request.
    """
    refused = head.not_executed or head.status == MISDIRECTED
    succeeded = 200 <= head.status < 300
    if head.attempt != call.attempt and not (refused and fresh and not head.attempt):
        return "attempt"
    if any(name.lower() == b"content-encoding" for name, _ in head.headers):
        return "encoding"
    if succeeded and refused:
        return "contradiction"
    if succeeded and not head.sealed:
        return "unsealed"
    if head.status in REFUSAL_STATUSES and not refused:
        return "promise"
    return ""


def step(call, state, event):
    """Return the next state and the actions to execute, in order."""
    match state, event:
        case Ended(), _:
            return state, ()
        case Queued(), Written(fresh):
            return MaybeSent(fresh), ()
        case Queued(), NotWritten(reason):
            return end_with(NotSent(reason), False)
        case Queued(), Cancelled():
            return Ended(None, False), ()
        case _, Cancelled():
            return Ended(None, True), (ABORT_CONNECTION,)
        case MaybeSent(fresh), HeadRead(head):
            return accept_head(call, head, fresh)
        case ReceivingBody(), DataRead(data):
            return state, (ForwardData(data),)
        case ReceivingBody(), BodyEnded():
            return end_with(Whole(), True)
        case ((MaybeSent() | ReceivingBody()), ConnectionFailed(reason)):
            return end_with(Broken(reason), True)
        case ((MaybeSent() | ReceivingBody()), _):
            return end_with(Broken("order"), True, ABORT_CONNECTION)
    return state, ()


def accept_head(call, head, fresh):
    """Handle the first response head after the request was written."""
    reason = rejection_reason(head, call, fresh)
    if reason:
        return end_with(Broken(reason), True, ABORT_CONNECTION)
    if head.not_executed or head.status == MISDIRECTED:
        return end_with(NotRun(head.status), False, DRAIN_CONNECTION)
    return ReceivingBody(head), (ForwardHead(head),)


def end_with(outcome, may_have_executed, *actions):
    """Return the final state with `outcome`, and the preceding actions followed by Finish."""
    return Ended(outcome, may_have_executed), (*actions, Finish(outcome))
