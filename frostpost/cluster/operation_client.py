"""Operations submitted to the replicas by an agent; all of them may be resent with the same effect."""

from expression import Error, Ok
from msgspec import Struct, msgpack
from twisted.internet.defer import Deferred

from frostpost.program_ledger.messages import ProgramResult
from frostpost.proxy.failures import Unavailable
from frostpost.virtual_synchrony.agent_messages import OperationRequest

from .agent_context import count, now_ms
from .attempt_tracing import is_traced, trace_operation
from .lease_client import NEVER_MS, holds_lease, replica_addresses, session_of

RETRY_MS = 500
RESEND_MS = 300
encode = msgpack.Encoder().encode
decode = msgpack.Decoder(ProgramResult).decode


class PendingOperation(Struct):
    """An operation without a result. until_decided: it is resent without end, else given up at `until_ms`."""

    number: int
    payload: bytes
    until_decided: bool
    until_ms: int
    answer: Deferred
    sent_ms: int = NEVER_MS


class OperationClient(Struct):
    """The operations that an agent has open, by number; `number` is the last one given."""

    number: int = 0
    open: dict[int, PendingOperation] = {}


def client_of(agent):
    """The agent's operation client; made at first use."""
    if agent.operations is None:
        agent.operations = OperationClient()
    return agent.operations


def submit(agent, op, wait_ms, until_decided):
    """Number an operation and send it to the sequencer. -> Deferred of its result"""
    state, now = client_of(agent), now_ms(agent)
    state.number += 1
    pending = PendingOperation(state.number, encode(op), until_decided, now + int(wait_ms), Deferred())
    state.open[pending.number] = pending
    if is_traced(agent):
        trace_operation(agent, op, pending.answer)
    send(agent, pending)
    if agent.ticker is not None:
        agent.ticker.wake(due_ms_of(pending) - now)
    return pending.answer


def call_replicas(agent, op, wait_ms):
    """-> Deferred[Result[verdict, Unavailable]]; after an Error it isn't known whether the operation was ordered."""
    if not holds_lease(agent):
        answer = Deferred()
        answer.callback(Error(Unavailable(RETRY_MS, "lease")))
        return answer
    return submit(agent, op, wait_ms, False)


def submit_until_decided(agent, op):
    """Submit an operation that ends something, and resend it until it is decided; it is never given up."""
    return submit(agent, op, 0, True)


def call_replicas_unleased(agent, op, wait_ms):
    """As `call_replicas`, for control: also without a lease; waits for a sequencer if none is known right now."""
    return submit(agent, op, wait_ms, False)


def send(agent, pending):
    """Send an operation to the sequencer, if one is known; without one it waits for the next resend."""
    held = session_of(agent)
    address = replica_addresses(agent).get(held.sequencer)
    if address is not None:
        pending.sent_ms = now_ms(agent)
        agent.links["send"](
            address, OperationRequest(agent.endpoint.member.incarnation, pending.number, pending.payload)
        )


def resend_all(agent):
    """The sequencer changed: resend what is open."""
    for pending in list(client_of(agent).open.values()):
        send(agent, pending)


def on_operation_reply(agent, message):
    """Resolve the operation that a reply is for; a fault leaves it open to be sent again."""
    state = client_of(agent)
    pending = state.open.get(message.number)
    if pending is None or message.incarnation != agent.endpoint.member.incarnation:
        return
    if message.error:
        count(agent, f"ring/{message.error}")
        return
    del state.open[message.number]
    pending.answer.callback(Ok(decode(message.result)))


def due_ms_of(pending):
    """When something is to be done about one that is open."""
    resend_ms = pending.sent_ms + RESEND_MS
    return resend_ms if pending.until_decided else min(resend_ms, pending.until_ms)


def due_ms(agent):
    """When `tend` has something to do next, on this daemon's clock; None if nothing is open."""
    return min(map(due_ms_of, client_of(agent).open.values()), default=None)


def resend_due(agent):
    """Send again what is undecided, and give up what has waited long enough."""
    state, now = client_of(agent), now_ms(agent)
    for pending in list(state.open.values()):
        if now >= pending.until_ms and not pending.until_decided:
            state.open.pop(pending.number, None)
            count(agent, "undecided")
            pending.answer.callback(Error(Unavailable(RETRY_MS, "undecided")))
        elif now - pending.sent_ms >= RESEND_MS:
            send(agent, pending)
