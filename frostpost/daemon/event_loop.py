"""Feed the core one input at a time, and hand its outputs to disk, links and waiting callers."""

from expression import Error, Ok
from msgspec import Struct, msgpack
from twisted.internet.defer import Deferred

from frostpost.ledger.operations import Finish, Release, Settle, Unclaim
from frostpost.ledger.results import Reserved, Won
from frostpost.program_ledger.messages import AbortAttempt, EndAttempt, ReleaseOperationKey, ResolveOperationKey
from frostpost.virtual_synchrony.config_messages import (
    ConfigBodyChunk,
    ConfigBodyRequest,
    ConfigVersionsReply,
    ConfigVersionsRequest,
)
from frostpost.virtual_synchrony.events import (
    ConfigurationChanged,
    EntryApplied,
    MessageReceived,
    OperationNumbered,
    OperationSubmitted,
    SnapshotInstalled,
    TimerTick,
    WindowFull,
)
from frostpost.virtual_synchrony.messages import Heartbeat
from frostpost.virtual_synchrony.timers import due_ms, needs_every_tick

from . import core as cores
from .context import clock_ms, count
from .errors import NoPrimary, Overfilled, Undecided
from .structured_log import log_event
from .ticker import Ticker

TICK_MS = 20
ENDING_OPERATIONS = (
    Settle,
    Release,
    Finish,
    Unclaim,
    EndAttempt,
    AbortAttempt,
    ResolveOperationKey,
    ReleaseOperationKey,
)
encode = msgpack.Encoder().encode


class Waiter(Struct):
    """An operation that was submitted and the Deferred that waits for its result."""

    op: object
    answer: Deferred | None
    timer: object = None


def feed_input(ctx, input):
    """Queue an input and step the core until the queue is empty."""
    ctx.inputs.append(input)
    if ctx.stepping:
        return
    ctx.stepping = True
    try:
        while ctx.inputs:
            ctx.core, out = cores.step(ctx.core, ctx.inputs.popleft())
            if out.writes:
                ctx.disk.write(out.writes)
            for to, body in out.sends:
                ctx.links["send"](to, body)
            for answer in out.notifications:
                on_answer(ctx, answer)
    finally:
        ctx.stepping = False
    if ctx.ticker is not None and needs_every_tick(ctx.core.synchrony):
        ctx.ticker.wake()
    continue_snapshot(ctx)


def continue_snapshot(ctx):
    """Let the event loop run before the next slice of a snapshot under way."""
    if ctx.core.snapshots.busy and not ctx.slicing:
        ctx.slicing = True
        ctx.reactor.callLater(0, next_slice, ctx)


def next_slice(ctx):
    """Go on with the snapshot under way."""
    ctx.slicing = False
    feed_input(ctx, cores.SnapshotSlice(clock_ms(ctx)))


def on_answer(ctx, answer):
    """Handle one answer of the core."""
    match answer:
        case cores.OperationDecided(number, result):
            on_decided(ctx, number, result)
        case OperationNumbered(number):
            if ctx.asking:
                waiter = ctx.asking.popleft()
                ctx.waiters[number] = waiter
        case WindowFull():
            if ctx.asking:
                resolve(ctx.asking.popleft(), Error(Overfilled()))
        case EntryApplied(entry):
            if entry.ordinal == 1:
                ctx.need_config = ctx.core.ledger.config_index
            ctx.links["applied"]()
        case SnapshotInstalled():
            ctx.need_config = ctx.core.ledger.config_index
            ctx.links["applied"]()
        case ConfigurationChanged(configuration, transitional):
            log_event(
                "configuration",
                id=list(configuration.id.__struct_fields__ and (configuration.id.epoch, configuration.id.proposer)),
                members=[m.name for m in configuration.members],
                transitional=transitional,
            )


def resolve(waiter, result):
    """Fire a waiter's Deferred once; False if it fired before."""
    answer, waiter.answer = waiter.answer, None
    if waiter.timer is not None and waiter.timer.active():
        waiter.timer.cancel()
    if answer is not None:
        answer.callback(result)
        return True
    return False


def on_decided(ctx, number, result):
    """Hand an operation's result to its waiter; undo it if nobody waits any more."""
    waiter = ctx.waiters.pop(number, None)
    if waiter is None:
        return
    outcome = Error(Undecided()) if result is None else Ok(result)
    if not resolve(waiter, outcome):
        release_late_result(ctx, waiter.op, result)


def release_late_result(ctx, op, result):
    """Give back what a late result reserved or claimed."""
    count(ctx, "late_results")
    if isinstance(result, Reserved):
        submit_without_result(ctx, Release(result.index))
    elif isinstance(result, Won):
        submit_without_result(ctx, Unclaim(op.key))


def submit_without_result(ctx, op):
    """Submit an operation without waiting for its result."""
    ctx.asking.append(Waiter(op, None))
    feed_input(ctx, OperationSubmitted(clock_ms(ctx), encode(op), isinstance(op, ENDING_OPERATIONS)))


def submit(ctx, op, wait_ms):
    """Submit an operation; Deferred of Ok(result), or of Error after `wait_ms`."""
    must = isinstance(op, ENDING_OPERATIONS)
    answer = Deferred()
    if not must and not cores.holds_lease(ctx.core, clock_ms(ctx)):
        answer.callback(Error(NoPrimary()))
        return answer
    waiter = Waiter(op, answer)
    waiter.timer = ctx.reactor.callLater(max(0.001, wait_ms / 1000), lambda: resolve(waiter, Error(Undecided())))
    ctx.asking.append(waiter)
    feed_input(ctx, OperationSubmitted(clock_ms(ctx), encode(op), must))
    return answer


def on_frame(ctx, frame):
    """Handle a frame from a peer."""
    body, sender_name = frame.body, frame.endpoint.member.name
    match body:
        case ConfigBodyRequest() | ConfigBodyChunk() | ConfigVersionsRequest() | ConfigVersionsReply():
            ctx.links["news"](sender_name, body)
        case _:
            feed_input(ctx, MessageReceived(clock_ms(ctx), frame.endpoint, body))
            if isinstance(body, Heartbeat):
                ctx.links["heard"](sender_name, body.status)


def tick(ctx):
    """Feed the core the current time."""
    feed_input(ctx, TimerTick(clock_ms(ctx)))


def beat(ctx):
    """Feed the core the time, and measure how late the event loop is."""
    now = clock_ms(ctx)
    late_ms = max(0, now - ctx.ticked_ms - TICK_MS)
    ctx.ticked_ms = now
    ctx.lag_ms = max(late_ms, ctx.lag_ms * 0.9)
    tick(ctx)


def start_ticker(ctx, failed):
    """Tick whenever the core has something to do; failed(failure) is told of an error, which ends it."""

    def late_tick():
        ctx.lag_ms = max(ctx.ticker.late_ms, ctx.lag_ms * 0.9)
        tick(ctx)

    def due_in_ms():
        return due_ms(ctx.core.synchrony) - clock_ms(ctx)

    ctx.ticker = Ticker(ctx.reactor, TICK_MS / 1000, late_tick, due_in_ms, failed)
    ctx.ticker.start()
