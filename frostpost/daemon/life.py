from typing import Protocol

from automat import TypeMachineBuilder

from frostpost.virtual_synchrony.events import Left

from .context import clock_ms
from .heart import feed
from .news import say
from .waiting import until


class Life(Protocol):
    def started(self) -> None: ...
    def leave(self) -> None: ...
    def emptied(self) -> None: ...
    def crash(self) -> None: ...


class Hand:
    __slots__ = ("ctx", "stop", "status", "close")

    def __init__(self, ctx, stop):
        self.ctx, self.stop, self.status, self.close = ctx, stop, 0, lambda: None


builder = TypeMachineBuilder(Life, Hand)
starting = builder.state("starting")
serving = builder.state("serving")
leaving = builder.state("leaving")
left = builder.state("left")


@starting.upon(Life.started).to(serving)
def began(life: Life, hand: Hand) -> None:
    place = hand.ctx.place
    say("started", name=place.member.name, port=place.port, http_port=place.http_port)


@serving.upon(Life.leave).to(leaving)
def leaves(life: Life, hand: Hand) -> None:
    ctx = hand.ctx
    ctx.leaving = True
    say("leaving", flights=ctx.flights, calls=ctx.calls)
    hand.close()
    end_ms = clock_ms(ctx) + ctx.settings.doors.grace_ms

    def linger(_):
        return until(ctx, lambda: not ctx.channels, min(ctx.settings.doors.linger_ms, end_ms - clock_ms(ctx)))

    def shut(_):
        for transport in list(ctx.channels.values()):
            transport.loseConnection()
        return until(ctx, lambda: not ctx.channels, end_ms - clock_ms(ctx))

    until(ctx, lambda: ctx.flights == ctx.calls == 0, ctx.settings.doors.grace_ms).addCallback(linger).addCallback(
        shut
    ).addCallback(lambda _: life.emptied())


@leaving.upon(Life.emptied).to(left)
def gone(life: Life, hand: Hand) -> None:
    ctx = hand.ctx
    feed(ctx, Left(clock_ms(ctx)))
    say("left", flights=ctx.flights)
    ctx.reactor.callLater(ctx.core.synchrony.bounds.beat_ms * 2 / 1000, hand.stop)


@starting.upon(Life.leave).to(left)
def never(life: Life, hand: Hand) -> None:
    hand.stop()


@leaving.upon(Life.leave).loop()
def again(life: Life, hand: Hand) -> None:
    return None


@left.upon(Life.leave).loop()
def over(life: Life, hand: Hand) -> None:
    return None


def crashed(life: Life, hand: Hand) -> None:
    hand.status = 70
    say("crashed", reason="SyncLostError")
    hand.stop()


for state in (starting, serving, leaving, left):
    state.upon(Life.crash).to(left)(crashed)
make = builder.build()
