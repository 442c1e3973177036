"""A daemon's life as a state machine: starting, serving, leaving, left."""

from typing import Protocol

from automat import TypeMachineBuilder

from frostpost.virtual_synchrony.events import DrainRequested

from .context import clock_ms
from .event_loop import feed_input
from .polling import poll_until
from .structured_log import log_event


class Life(Protocol):
    """Inputs of the state machine."""

    def started(self) -> None:
        """The daemon listens."""

    def leave(self) -> None:
        """The daemon shall shut down."""

    def emptied(self) -> None:
        """All requests have ended."""

    def crash(self) -> None:
        """Something failed that the daemon can't go on with."""


class DaemonProcess:
    """What the state machine works on: the daemon, how to stop it, and its exit status."""

    __slots__ = ("ctx", "stop", "status", "close")

    def __init__(self, ctx, stop):
        self.ctx, self.stop, self.status, self.close = ctx, stop, 0, lambda: None


builder = TypeMachineBuilder(Life, DaemonProcess)
starting = builder.state("starting")
serving = builder.state("serving")
leaving = builder.state("leaving")
left = builder.state("left")


@starting.upon(Life.started).to(serving)
def began(life: Life, hand: DaemonProcess) -> None:
    """Log the start."""
    endpoint = hand.ctx.endpoint
    log_event("started", name=endpoint.member.name, port=endpoint.port, http_port=endpoint.http_port)


@serving.upon(Life.leave).to(leaving)
def leaves(life: Life, hand: DaemonProcess) -> None:
    """Refuse new requests, wait for the open ones, then close the connections."""
    ctx = hand.ctx
    ctx.leaving = True
    log_event("leaving", flights=ctx.flights, calls=ctx.calls)
    hand.close()
    end_ms = clock_ms(ctx) + ctx.settings.doors.grace_ms

    def linger(_):
        return poll_until(ctx, lambda: not ctx.channels, min(ctx.settings.doors.linger_ms, end_ms - clock_ms(ctx)))

    def shut(_):
        for transport in list(ctx.channels.values()):
            transport.loseConnection()
        return poll_until(ctx, lambda: not ctx.channels, end_ms - clock_ms(ctx))

    poll_until(ctx, lambda: ctx.flights == ctx.calls == 0, ctx.settings.doors.grace_ms).addCallback(linger).addCallback(
        shut
    ).addCallback(lambda _: life.emptied())


@leaving.upon(Life.emptied).to(left)
def gone(life: Life, hand: DaemonProcess) -> None:
    """Leave the membership, and stop once the peers have heard it."""
    ctx = hand.ctx
    feed_input(ctx, DrainRequested(clock_ms(ctx)))
    log_event("left", flights=ctx.flights)
    ctx.reactor.callLater(ctx.core.synchrony.bounds.heartbeat_ms * 2 / 1000, hand.stop)


@starting.upon(Life.leave).to(left)
def never(life: Life, hand: DaemonProcess) -> None:
    """Stop before anything was served."""
    hand.stop()


@leaving.upon(Life.leave).loop()
def again(life: Life, hand: DaemonProcess) -> None:
    """Ignore a second order to leave."""
    return None


@left.upon(Life.leave).loop()
def over(life: Life, hand: DaemonProcess) -> None:
    """Ignore an order to leave after the end."""
    return None


def crashed(life: Life, hand: DaemonProcess) -> None:
    """Stop with exit status 70."""
    hand.status = 70
    log_event("crashed", reason="SyncLostError")
    hand.stop()


for state in (starting, serving, leaving, left):
    state.upon(Life.crash).to(left)(crashed)
make = builder.build()
