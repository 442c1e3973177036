"""Operations that an agent submits to the replicas; resending one has no further effect."""

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
    """An operation without a result: resent until decided if `until_decided`, else until `until_ms`."""

    number: int
    payload: bytes
    until_decided: bool
    until_ms: int
    answer: Deferred
    sent_ms: int = NEVER_MS


class OperationClient(Struct):
    """The pending operations of an agent by number; `number` is the last one assigned."""

    number: int = 0
    pending: dict[int, PendingOperation] = {}


def client_of(agent):
    """Returns the agent's operation client, created on first use."""
    if agent.operations is None:
        agent.operations = OperationClient()
    return agent.operations


def submit(agent, op, wait_ms, until_decided):
    """Number an operation and send it to the sequencer. Returns a Deferred of its result."""
    client, now = client_of(agent), now_ms(agent)
    client.number += 1
    pending = PendingOperation(client.number, encode(op), until_decided, now + int(wait_ms), Deferred())
    client.pending[pending.number] = pending
    if is_traced(agent):
        trace_operation(agent, op, pending.answer)
    send(agent, pending)
    if agent.ticker is not None:
        agent.ticker.wake(due_ms_of(pending) - now)
    return pending.answer


def call_replicas(agent, op, wait_ms):
    """Submit an operation under a lease. Returns Deferred[Result[result, Unavailable]].

    After an Error it is unknown whether the operation was ordered.
    """
    if not holds_lease(agent):
        answer = Deferred()
        answer.callback(Error(Unavailable(RETRY_MS, "lease")))
        return answer
    return submit(agent, op, wait_ms, False)


def submit_until_decided(agent, op):
    """Submit an operation and resend it until it is decided, without a timeout."""
    return submit(agent, op, 0, True)


def call_replicas_unleased(agent, op, wait_ms):
    """As `call_replicas`, but also without a lease, for control; waits until a sequencer is known."""
    return submit(agent, op, wait_ms, False)


def send(agent, pending):
    """Send an operation to the sequencer; if none is known, the next resend sends it."""
    session = session_of(agent)
    address = replica_addresses(agent).get(session.sequencer)
    if address is not None:
        pending.sent_ms = now_ms(agent)
        agent.links["send"](
            address, OperationRequest(agent.endpoint.member.incarnation, pending.number, pending.payload)
        )


def resend_all(agent):
    """Resend all pending operations after a change of sequencer."""
    for pending in list(client_of(agent).pending.values()):
        send(agent, pending)


def on_operation_reply(agent, message):
    """Resolve the operation that a reply is for; an error reply leaves it pending until the next resend."""
    client = client_of(agent)
    pending = client.pending.get(message.number)
    if pending is None or message.incarnation != agent.endpoint.member.incarnation:
        return
    if message.error:
        count(agent, f"ring/{message.error}")
        return
    del client.pending[message.number]
    pending.answer.callback(Ok(decode(message.result)))


def due_ms_of(pending):
    """When a pending operation is next to be resent or timed out."""
    resend_ms = pending.sent_ms + RESEND_MS
    return resend_ms if pending.until_decided else min(resend_ms, pending.until_ms)


def due_ms(agent):
    """When `resend_due` next has something to do, on this daemon's clock; None if nothing is pending."""
    return min(map(due_ms_of, client_of(agent).pending.values()), default=None)


def resend_due(agent):
    """Resend undecided operations and fail those past their deadline."""
    client, now = client_of(agent), now_ms(agent)
    for pending in list(client.pending.values()):
        if now >= pending.until_ms and not pending.until_decided:
            client.pending.pop(pending.number, None)
            count(agent, "undecided")
            pending.answer.callback(Error(Unavailable(RETRY_MS, "undecided")))
        elif now - pending.sent_ms >= RESEND_MS:
            send(agent, pending)
