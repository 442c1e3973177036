"""Operations handed in to the ring by a leaf; all of them may be handed in again with the same effect."""

from expression import Error, Ok
from msgspec import Struct, msgpack
from twisted.internet.defer import Deferred

from frostpost.program_ledger.words import CoppiceVerdict
from frostpost.proxy.failures import Unavailable
from frostpost.virtual_synchrony.agent_messages import OperationRequest

from .agent_context import count, now_ms
from .attempt_tracing import handed_in, traced
from .lease_client import NEVER, lease_ok, ring_addresses, session

RETRY_MS = 500
RESEND_MS = 300
encode = msgpack.Encoder().encode
decode = msgpack.Decoder(CoppiceVerdict).decode


class Asked(Struct):
    number: int
    payload: bytes
    must: bool
    until_ms: int
    answer: Deferred
    sent_ms: int = NEVER


class Asking(Struct):
    number: int = 0
    open: dict[int, Asked] = {}


def asking(leaf):
    if leaf.asking is None:
        leaf.asking = Asking()
    return leaf.asking


def hand_in(leaf, op, wait_ms, must):
    state, now = asking(leaf), now_ms(leaf)
    state.number += 1
    asked = Asked(state.number, encode(op), must, now + int(wait_ms), Deferred())
    state.open[asked.number] = asked
    if traced(leaf):
        handed_in(leaf, op, asked.answer)
    send(leaf, asked)
    if leaf.ticker is not None:
        leaf.ticker.wake(due_ms_of(asked) - now)
    return asked.answer


def ask(leaf, op, wait_ms):
    """-> Deferred[Result[verdict, Unavailable]]; after an Error it isn't known whether the operation was ordered."""
    if not lease_ok(leaf):
        answer = Deferred()
        answer.callback(Error(Unavailable(RETRY_MS, "lease")))
        return answer
    return hand_in(leaf, op, wait_ms, False)


def tell(leaf, op):
    """Hand an end in until it is decided; never turned away."""
    return hand_in(leaf, op, 0, True)


def look(leaf, op, wait_ms):
    """As `ask`, for control: waits for a ring if there is none right now."""
    return hand_in(leaf, op, wait_ms, False)


def send(leaf, asked):
    held = session(leaf)
    address = ring_addresses(leaf).get(held.sequencer)
    if address is not None:
        asked.sent_ms = now_ms(leaf)
        leaf.links["send"](address, OperationRequest(leaf.endpoint.member.incarnation, asked.number, asked.payload))


def send_all(leaf):
    """The sequencer changed: hand in again what is open."""
    for asked in list(asking(leaf).open.values()):
        send(leaf, asked)


def told(leaf, message):
    state = asking(leaf)
    asked = state.open.get(message.number)
    if asked is None or message.incarnation != leaf.endpoint.member.incarnation:
        return
    if message.fault:
        count(leaf, f"ring/{message.fault}")
        return
    del state.open[message.number]
    asked.answer.callback(Ok(decode(message.verdict)))


def due_ms_of(asked):
    """When something is to be done about one that is open."""
    resend_ms = asked.sent_ms + RESEND_MS
    return resend_ms if asked.must else min(resend_ms, asked.until_ms)


def due_ms(leaf):
    """When `tend` has something to do next, on this daemon's clock; None if nothing is open."""
    return min(map(due_ms_of, asking(leaf).open.values()), default=None)


def tend(leaf):
    """Send again what is undecided, and give up what has waited long enough."""
    state, now = asking(leaf), now_ms(leaf)
    for asked in list(state.open.values()):
        if now >= asked.until_ms and not asked.must:
            state.open.pop(asked.number, None)
            count(leaf, "undecided")
            asked.answer.callback(Error(Unavailable(RETRY_MS, "undecided")))
        elif now - asked.sent_ms >= RESEND_MS:
            send(leaf, asked)
