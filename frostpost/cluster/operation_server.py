"""Operations of agents, submitted by the replica that leads; BeginAttempts without a free slot are queued first."""

from expression import Error, Ok
from msgspec import DecodeError, msgpack

from frostpost.daemon.context import clock_ms, count
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
    """Submit an agent's operation and send its result; a duplicate of one in progress is ignored."""
    operation_key = (address, message.incarnation, message.number)
    if operation_key in sessions.operations_in_progress:
        return
    if ctx.core.synchrony.outbox_bytes >= ctx.core.synchrony.bounds.window_bytes:
        # Operations that end others bypass the window; they too have to wait for memory, and the agent repeats them.
        count(ctx, "outbox_full")
        return
    try:
        op = decode_operation(message.payload)
    except DecodeError:
        ctx.links["send"](address, OperationReply(message.incarnation, message.number, b"", "Unreadable"))
        return
    sessions.operations_in_progress.add(operation_key)

    def on_decided(result):
        sessions.operations_in_progress.discard(operation_key)
        if result.is_ok():
            reply = OperationReply(message.incarnation, message.number, encode(result.ok))
        else:
            reply = OperationReply(message.incarnation, message.number, b"", type(result.error).__name__)
        ctx.links["send"](address, reply)

    if isinstance(op, BeginAttempt):
        submit_begin(ctx, sessions, op, on_decided)
        return
    if isinstance(op, AbortAttempt):
        admission_queue.reject(sessions.admission, op.attempt)
    submit(ctx, op, OPERATION_TIMEOUT_MS).addCallback(on_decided)


def submit_begin(ctx, sessions, op, on_decided):
    """Submit a BeginAttempt, or queue it while it lacks only a slot; on_decided(result) is called once."""
    queue, until_ms = sessions.admission, clock_ms(ctx) + op.max_queue_ms

    def submit_now(entry):
        admission_queue.on_submitted(queue, op)
        submit(ctx, op, OPERATION_TIMEOUT_MS).addCallback(on_result)

    def on_result(result):
        admission_queue.on_decided(queue, op)
        if result.is_ok() and isinstance(result.ok, NoCapacity) and clock_ms(ctx) < until_ms:
            wait_for_slot()
        else:
            on_decided(result)

    def refuse(result):
        # A former leader must not refuse: the agent has resent the operation to the new leader.
        on_decided(Ok(result) if is_sequencer(ctx) else Error(NoPrimary()))

    def wait_for_slot():
        entry = admission_queue.QueuedAttempt(op, until_ms, submit_now, refuse)
        admission_queue.enqueue(queue, entry, clock_ms(ctx), ctx.reactor.callLater)

    program_ledger = ctx.core.ledger.program_ledger
    if op.max_queue_ms > 0 and is_sequencer(ctx) and admission_queue.should_queue(queue, program_ledger, op):
        wait_for_slot()
    else:
        submit_now(None)
