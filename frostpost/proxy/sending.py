"""What is known of one request that is being sent to one runner, as a pure state machine.

    Queued --Wrote--> MaybeSent --HeadRead--> Answering --BodyEnded--> Ended(Whole)
       |                  |  \\                   |
       |                  |   --refusal--> Ended(NotRun)
       --NotWritten--> Ended(NotSent)            --ConnectionFailed--> Ended(Broken)

From the first byte written until a refusal is read, the runner may have begun to run the request. Only `NotSent` and
`NotRun` say that it did not; nothing that comes after one of the ends changes it.
"""

from msgspec import Struct

from .outcomes import Broken, NotRun, NotSent, Whole
from .words import RunnerHead

PROMISES = (408, 429, 503)
MISDIRECTED = 421


class Queued(Struct, frozen=True, tag=True):
    """It waits for a connection; no byte of it was written."""


class MaybeSent(Struct, frozen=True, tag=True):
    """It was written. fresh: its connection carried no other exchange before, so no earlier answer can come on it."""

    fresh: bool


class Answering(Struct, frozen=True, tag=True):
    """The head of its own answer was read, and its body comes."""

    head: RunnerHead


class Ended(Struct, frozen=True, tag=True):
    """outcome: None where whoever sent it gave it up. may_have_run: whether the runner may have begun to run it."""

    outcome: NotSent | NotRun | Broken | Whole | None
    may_have_run: bool


class NotWritten(Struct, frozen=True, tag=True):
    """It may not be sent, or no connection came up."""

    why: str


class Wrote(Struct, frozen=True, tag=True):
    """All of it was handed to a connection."""

    fresh: bool


class HeadRead(Struct, frozen=True, tag=True):
    """The head of an answer was read."""

    head: RunnerHead


class DataRead(Struct, frozen=True, tag=True):
    """A piece of its body was read."""

    data: bytes


class BodyEnded(Struct, frozen=True, tag=True):
    """The last byte that the answer's own framing promised was read."""


class ConnectionFailed(Struct, frozen=True, tag=True):
    """A reset, a close, silence beyond bounds, or bytes that are no answer."""

    why: str


class GivenUp(Struct, frozen=True, tag=True):
    """Its client left or its time passed."""


class PassHead(Struct, frozen=True, tag=True):
    """Hand the head of the answer on."""

    head: RunnerHead


class PassData(Struct, frozen=True, tag=True):
    """Hand a piece of the answer's body on."""

    data: bytes


class Finish(Struct, frozen=True, tag=True):
    """Tell whoever sent it how it ended; once and last."""

    outcome: NotSent | NotRun | Broken | Whole


class DropConnection(Struct, frozen=True, tag=True):
    """Close the connection now: what else comes on it belongs to nobody."""


class DrainConnection(Struct, frozen=True, tag=True):
    """Read the rest of a refusal, so that the connection can be used again."""


DROP, DRAIN = DropConnection(), DrainConnection()


def may_have_run(state):
    """Whether the runner may have begun to run the request."""
    if isinstance(state, Ended):
        return state.may_have_run
    return not isinstance(state, Queued)


def doubt(head, call, fresh):
    """Why this head is not that of the call's own run, or empty.

    fresh: the connection carried nothing before, where even a refusal without the call's id can only be its own.
    """
    refused = head.not_run or head.status == MISDIRECTED
    succeeded = 200 <= head.status < 300
    if head.attempt != call.attempt and not (refused and fresh and not head.attempt):
        return "attempt"
    if any(name.lower() == b"content-encoding" for name, _ in head.headers):
        return "encoding"
    if succeeded and refused:
        return "contradiction"
    if succeeded and not head.sealed:
        return "unsealed"
    if head.status in PROMISES and not refused:
        return "promise"
    return ""


def step(call, state, heard):
    """(state, what was heard) -> (state, actions in order)."""
    match state, heard:
        case Ended(), _:
            return state, ()
        case Queued(), Wrote(fresh):
            return MaybeSent(fresh), ()
        case Queued(), NotWritten(why):
            return end(NotSent(why), False)
        case Queued(), GivenUp():
            return Ended(None, False), ()
        case _, GivenUp():
            return Ended(None, True), (DROP,)
        case MaybeSent(fresh), HeadRead(head):
            return take_head(call, head, fresh)
        case Answering(), DataRead(data):
            return state, (PassData(data),)
        case Answering(), BodyEnded():
            return end(Whole(), True)
        case ((MaybeSent() | Answering()), ConnectionFailed(why)):
            return end(Broken(why), True)
        case ((MaybeSent() | Answering()), _):
            return end(Broken("order"), True, DROP)
    return state, ()


def take_head(call, head, fresh):
    """The first head that comes after the request was written."""
    why = doubt(head, call, fresh)
    if why:
        return end(Broken(why), True, DROP)
    if head.not_run or head.status == MISDIRECTED:
        return end(NotRun(head.status), False, DRAIN)
    return Answering(head), (PassHead(head),)


def end(outcome, ran, *before):
    """The end with this outcome, after the other actions."""
    return Ended(outcome, ran), (*before, Finish(outcome))
