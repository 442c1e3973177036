"""Feeds the core one input at a time and dispatches its outputs to the disk, the links and the waiting callers."""

from expression import Error, Ok
from msgspec import Struct, msgpack
from twisted.internet.defer import Deferred

from frostpost.ledger.operations import Finish, Release, Settle, Unclaim
from frostpost.ledger.results import Reserved, Won
from frostpost.program_ledger.key_messages import ReleaseOperationKey, ResolveOperationKey
from frostpost.program_ledger.messages import AbortAttempt, EndAttempt
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
# Operations that free what an earlier one reserved; they are submitted without a lease and despite a full window.
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
    """A submitted operation and the Deferred of its result, which is None once it has fired or if nobody waits."""

    operation: object
    deferred: Deferred | None
    timer: object = None


def feed_input(ctx, input):
    """Queue an input and step the core until the queue is empty; may be called again from within a step."""
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
            for notification in out.notifications:
                dispatch_notification(ctx, notification)
    finally:
        ctx.stepping = False
    if ctx.ticker is not None and needs_every_tick(ctx.core.synchrony):
        ctx.ticker.wake()
    schedule_snapshot_slice(ctx)


def schedule_snapshot_slice(ctx):
    """Schedule the next slice of a snapshot in progress, after other pending events of the reactor."""
    if ctx.core.snapshots.busy and not ctx.slice_scheduled:
        ctx.slice_scheduled = True
        ctx.reactor.callLater(0, run_snapshot_slice, ctx)


def run_snapshot_slice(ctx):
    """Process one slice of the snapshot in progress."""
    ctx.slice_scheduled = False
    feed_input(ctx, cores.SnapshotSlice(clock_ms(ctx)))


def dispatch_notification(ctx, notification):
    """Dispatch one notification of the core to the callers and subsystems concerned."""
    match notification:
        case cores.OperationDecided(number, result):
            on_decided(ctx, number, result)
        case OperationNumbered(number):
            if ctx.unnumbered_waiters:
                waiter = ctx.unnumbered_waiters.popleft()
                ctx.waiters[number] = waiter
        case WindowFull():
            if ctx.unnumbered_waiters:
                resolve(ctx.unnumbered_waiters.popleft(), Error(Overfilled()))
        case EntryApplied(entry):
            if entry.ordinal == 1:
                ctx.required_config_index = ctx.core.ledger.config_index
            ctx.links["applied"]()
        case SnapshotInstalled():
            ctx.required_config_index = ctx.core.ledger.config_index
            ctx.links["applied"]()
        case ConfigurationChanged(configuration, transitional):
            log_event(
                "configuration",
                id=list(configuration.id.__struct_fields__ and (configuration.id.epoch, configuration.id.proposer)),
                members=[m.name for m in configuration.members],
                transitional=transitional,
            )


def resolve(waiter, result):
    """Fire a waiter's Deferred unless it has fired before; return whether it fired now."""
    deferred, waiter.deferred = waiter.deferred, None
    if waiter.timer is not None and waiter.timer.active():
        waiter.timer.cancel()
    if deferred is not None:
        deferred.callback(result)
        return True
    return False


def on_decided(ctx, number, result):
    """Deliver an operation's result to its waiter, or release what it reserved if the waiter has timed out."""
    waiter = ctx.waiters.pop(number, None)
    if waiter is None:
        return
    outcome = Error(Undecided()) if result is None else Ok(result)
    if not resolve(waiter, outcome):
        release_late_result(ctx, waiter.operation, result)


def release_late_result(ctx, operation, result):
    """Release what an operation reserved or claimed after its caller had timed out."""
    count(ctx, "late_results")
    if isinstance(result, Reserved):
        submit_without_result(ctx, Release(result.index))
    elif isinstance(result, Won):
        submit_without_result(ctx, Unclaim(operation.key))


def submit_without_result(ctx, operation):
    """Submit an operation without waiting for its result."""
    ctx.unnumbered_waiters.append(Waiter(operation, None))
    feed_input(ctx, OperationSubmitted(clock_ms(ctx), encode(operation), isinstance(operation, ENDING_OPERATIONS)))


def submit(ctx, operation, timeout_ms):
    """Submit an operation; return a Deferred that fires with Ok(result) or Error, at the latest after `timeout_ms`.

    Operations other than the ending ones are refused with NoPrimary if this daemon holds no lease.
    """
    is_ending = isinstance(operation, ENDING_OPERATIONS)
    deferred = Deferred()
    if not is_ending and not cores.holds_lease(ctx.core, clock_ms(ctx)):
        deferred.callback(Error(NoPrimary()))
        return deferred
    waiter = Waiter(operation, deferred)
    waiter.timer = ctx.reactor.callLater(max(0.001, timeout_ms / 1000), lambda: resolve(waiter, Error(Undecided())))
    ctx.unnumbered_waiters.append(waiter)
    feed_input(ctx, OperationSubmitted(clock_ms(ctx), encode(operation), is_ending))
    return deferred


def on_frame(ctx, frame):
    """Dispatch a frame from a peer to the core or to the subsystem concerned."""
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


def tick_periodically(ctx):
    """Feed the core the current time, and measure the lag of the event loop; called every TICK_MS."""
    now_ms = clock_ms(ctx)
    late_ms = max(0, now_ms - ctx.last_tick_ms - TICK_MS)
    ctx.last_tick_ms = now_ms
    ctx.lag_ms = max(late_ms, ctx.lag_ms * 0.9)
    tick(ctx)


def start_ticker(ctx, on_failure):
    """Tick whenever the core has something due; if a tick raises, stop ticking and call `on_failure(failure)`."""

    def run_tick():
        ctx.lag_ms = max(ctx.ticker.late_ms, ctx.lag_ms * 0.9)
        tick(ctx)

    def due_in_ms():
        return due_ms(ctx.core.synchrony) - clock_ms(ctx)

    ctx.ticker = Ticker(ctx.reactor, TICK_MS / 1000, run_tick, due_in_ms, on_failure)
    ctx.ticker.start()
