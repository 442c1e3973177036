"""The lifecycle of a daemon as a state machine: starting, serving, shutting down, stopped."""

from typing import Protocol

from automat import TypeMachineBuilder

from frostpost.virtual_synchrony.events import DrainRequested

from .context import clock_ms
from .event_loop import feed_input
from .polling import poll_until
from .structured_log import log_event


class Lifecycle(Protocol):
    """Inputs of the state machine."""

    def started(self) -> None:
        """The daemon listens for peers and for HTTP."""

    def shut_down(self) -> None:
        """A graceful shutdown is requested."""

    def drained(self) -> None:
        """All requests have ended, or the grace period is over."""

    def crash(self) -> None:
        """The daemon can't continue after a failure."""


class DaemonProcess:
    """The data of the state machine: the daemon's context, its exit status, and how to stop it.

    `close()` stops listening for peers; `stop()` ends the process.
    """

    __slots__ = ("ctx", "stop", "status", "close")

    def __init__(self, ctx, stop):
        self.ctx, self.stop, self.status, self.close = ctx, stop, 0, lambda: None


builder = TypeMachineBuilder(Lifecycle, DaemonProcess)
starting = builder.state("starting")
serving = builder.state("serving")
shutting_down = builder.state("leaving")
stopped = builder.state("left")


@starting.upon(Lifecycle.started).to(serving)
def on_started(lifecycle: Lifecycle, process: DaemonProcess) -> None:
    """Log the start."""
    endpoint = process.ctx.endpoint
    log_event("started", name=endpoint.member.name, port=endpoint.port, http_port=endpoint.http_port)


@serving.upon(Lifecycle.shut_down).to(shutting_down)
def drain_requests(lifecycle: Lifecycle, process: DaemonProcess) -> None:
    """Refuse new requests, wait for the open ones, and close the connections that clients leave open."""
    ctx = process.ctx
    ctx.shutting_down = True
    log_event("leaving", flights=ctx.requests_in_flight, calls=ctx.open_requests)
    process.close()
    end_ms = clock_ms(ctx) + ctx.settings.doors.grace_ms

    def wait_for_clients(_):
        return poll_until(ctx, lambda: not ctx.connections, min(ctx.settings.doors.linger_ms, end_ms - clock_ms(ctx)))

    def close_connections(_):
        for transport in list(ctx.connections.values()):
            transport.loseConnection()
        return poll_until(ctx, lambda: not ctx.connections, end_ms - clock_ms(ctx))

    poll_until(ctx, lambda: ctx.requests_in_flight == ctx.open_requests == 0, ctx.settings.doors.grace_ms).addCallback(
        wait_for_clients
    ).addCallback(close_connections).addCallback(lambda _: lifecycle.drained())


@shutting_down.upon(Lifecycle.drained).to(stopped)
def leave_configuration(lifecycle: Lifecycle, process: DaemonProcess) -> None:
    """Leave the configuration, and stop after two heartbeats, which announce it to the peers."""
    ctx = process.ctx
    feed_input(ctx, DrainRequested(clock_ms(ctx)))
    log_event("left", flights=ctx.requests_in_flight)
    ctx.reactor.callLater(ctx.core.synchrony.bounds.heartbeat_ms * 2 / 1000, process.stop)


@starting.upon(Lifecycle.shut_down).to(stopped)
def stop_before_start(lifecycle: Lifecycle, process: DaemonProcess) -> None:
    """Stop at once, since no request has been served."""
    process.stop()


@shutting_down.upon(Lifecycle.shut_down).loop()
def ignore_repeated_shutdown(lifecycle: Lifecycle, process: DaemonProcess) -> None:
    """Ignore a shutdown request while shutting down."""
    return None


@stopped.upon(Lifecycle.shut_down).loop()
def ignore_late_shutdown(lifecycle: Lifecycle, process: DaemonProcess) -> None:
    """Ignore a shutdown request after the stop."""
    return None


def on_crash(lifecycle: Lifecycle, process: DaemonProcess) -> None:
    """Stop with exit status 70."""
    process.status = 70
    log_event("crashed", reason="SyncLostError")
    process.stop()


for state in (starting, serving, shutting_down, stopped):
    state.upon(Lifecycle.crash).to(stopped)(on_crash)
make_lifecycle = builder.build()
