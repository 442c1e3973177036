from automat import TypeMachineBuilder
from typing import Protocol

from frostpost.virtual_synchrony.events import Left
from .context import nowMs
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
    say("started", name=place.member.name, port=place.port, httpPort=place.httpPort)


@serving.upon(Life.leave).to(leaving)
def leaves(life: Life, hand: Hand) -> None:
    ctx = hand.ctx
    ctx.leaving = True
    say("leaving", flights=ctx.flights, calls=ctx.calls)
    hand.close()
    endMs = nowMs(ctx) + ctx.settings.doors.graceMs

    def linger(_):
        return until(ctx, lambda: not ctx.channels, min(ctx.settings.doors.lingerMs, endMs - nowMs(ctx)))

    def shut(_):
        for transport in list(ctx.channels.values()):
            transport.loseConnection()
        return until(ctx, lambda: not ctx.channels, endMs - nowMs(ctx))

    until(ctx, lambda: ctx.flights == ctx.calls == 0, ctx.settings.doors.graceMs).addCallback(linger).addCallback(
        shut
    ).addCallback(lambda _: life.emptied())


@leaving.upon(Life.emptied).to(left)
def gone(life: Life, hand: Hand) -> None:
    ctx = hand.ctx
    feed(ctx, Left(nowMs(ctx)))
    say("left", flights=ctx.flights)
    ctx.reactor.callLater(ctx.core.hedge.bounds.beatMs * 2 / 1000, hand.stop)


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
    say("crashed", reason="SyncLost")
    hand.stop()


for state in (starting, serving, leaving, left):
    state.upon(Life.crash).to(left)(crashed)
make = builder.build()
