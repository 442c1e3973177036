"""Operations of agents, submitted by the replica that leads; begins without a slot wait here first."""

from expression import Error, Ok
from msgspec import DecodeError, msgpack

from frostpost.daemon.context import clock_ms
from frostpost.daemon.errors import NoPrimary
from frostpost.daemon.event_loop import submit
from frostpost.ledger.apply import decode_operation
from frostpost.program_ledger.messages import AbortAttempt, BeginAttempt, NoCapacity
from frostpost.virtual_synchrony.agent_messages import OperationReply

from . import admission_queue
from .leadership import is_sequencer

OPERATION_TIMEOUT_MS = 5000
encode = msgpack.Encoder().encode


def on_operation_request(ctx, sessions, address, message):
    """Submit an agent's operation once and reply with its result; one that is under way is not begun again."""
    operation_key = (address, message.incarnation, message.number)
    if operation_key in sessions.operations_in_progress:
        return
    try:
        op = decode_operation(message.payload)
    except DecodeError:
        ctx.links["send"](address, OperationReply(message.incarnation, message.number, b"", "Unreadable"))
        return
    sessions.operations_in_progress.add(operation_key)

    def decided(result):
        sessions.operations_in_progress.discard(operation_key)
        if result.is_ok():
            reply = OperationReply(message.incarnation, message.number, encode(result.ok))
        else:
            reply = OperationReply(message.incarnation, message.number, b"", type(result.error).__name__)
        ctx.links["send"](address, reply)

    if isinstance(op, BeginAttempt):
        submit_begin(ctx, sessions, op, decided)
        return
    if isinstance(op, AbortAttempt):
        admission_queue.give_up(sessions.admission, op.attempt)
    submit(ctx, op, OPERATION_TIMEOUT_MS).addCallback(decided)


def submit_begin(ctx, sessions, op, decided):
    """Submit a begin, or let it wait here while only a slot is lacking; decided(result) is called once."""
    queue, until_ms = sessions.admission, clock_ms(ctx) + op.max_queue_ms

    def submit_now(waiting):
        admission_queue.on_submitted(queue, op)
        submit(ctx, op, OPERATION_TIMEOUT_MS).addCallback(on_result)

    def on_result(result):
        admission_queue.on_decided(queue, op)
        if result.is_ok() and isinstance(result.ok, NoCapacity) and clock_ms(ctx) < until_ms:
            wait_for_slot()
        else:
            decided(result)

    def refuse(verdict):
        # A replica that leads no more has nothing to say: the agent has sent it again to the new leader.
        decided(Ok(verdict) if is_sequencer(ctx) else Error(NoPrimary()))

    def wait_for_slot():
        waiting = admission_queue.WaitingBegin(op, until_ms, submit_now, refuse)
        admission_queue.enqueue(queue, waiting, clock_ms(ctx), ctx.reactor.callLater)

    program_ledger = ctx.core.ledger.program_ledger
    if op.max_queue_ms > 0 and is_sequencer(ctx) and admission_queue.may_wait(queue, program_ledger, op):
        wait_for_slot()
    else:
        submit_now(None)
