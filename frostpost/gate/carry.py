from typing import Callable

from msgspec import Struct, json
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from frostpost.orchard.context import nowMs
from frostpost.orchard.core import leaseOk


class LeaseGone(Exception):
    pass


class Stalled(Struct, frozen=True, tag="Stalled"):
    why: str


class NeverSent(Struct, frozen=True, tag="NeverSent"):
    why: str


class TurnedAway(Struct, frozen=True, tag="TurnedAway"):
    status: int


class Broken(Struct, frozen=True, tag="Broken"):
    why: str


@implementer(IBodyProducer)
class Guarded:
    def __init__(self, ctx, go, data):
        self.ctx, self.go, self.data, self.length = ctx, go, data, len(data)

    def startProducing(self, consumer):
        if self.go.gone or not leaseOk(self.ctx.core, nowMs()):
            return fail(LeaseGone())
        if not mayRun(self.ctx, self.go.runner) or not self.go.still():
            return fail(LeaseGone())
        self.go.sent = True
        consumer.write(self.data)
        return succeed(None)

    def stopProducing(self):
        return None

    def pauseProducing(self):
        return None

    def resumeProducing(self):
        return None


def mayRun(ctx, runner):
    held = ctx.core.granary.runners.get(runner.name)
    leaving = f"{runner.name}/{runner.instance}" in ctx.core.granary.leaving
    status = ctx.statuses.get(runner.name)
    reported = status is not None and status.leaving and status.instance == runner.instance
    return held == runner and not leaving and not reported


def always():
    return True


class Go(Struct):
    runner: object
    still: Callable = always
    sent: bool = False
    gone: bool = False
    ended: object = None
    protocol: object = None
    request: object = None
    timer: object = None


class Hearing(Protocol):
    def __init__(self, go, hear, ended, touch):
        self.go, self.hear, self.ended, self.touch = go, hear, ended, touch

    def dataReceived(self, data):
        if not self.go.gone:
            self.touch()
            self.hear(data)

    def connectionLost(self, reason):
        if not self.ended.called:
            whole = reason.check(ResponseDone)
            self.ended.callback(None if whole else Broken(reason.type.__name__))


def agent(ctx):
    pool = HTTPConnectionPool(ctx.reactor, persistent=False)
    pool.retryAutomatically = False
    return HTTPClient(
        Agent(ctx.reactor, connectTimeout=ctx.settings.doors.connectMs / 1000, pool=pool))


def start(ctx, go, path, document, hear, limitMs):
    ended = Deferred()
    go.ended = ended
    stallMs = min(limitMs, ctx.settings.doors.stallMs)

    def stop(reason):
        go.gone = True
        if go.protocol is not None and go.protocol.transport is not None:
            go.protocol.transport.loseConnection()
        elif go.request is not None:
            go.request.cancel()
        if not ended.called:
            ended.callback(reason)

    def touch():
        if go.timer.active():
            go.timer.reset(stallMs / 1000)

    def responded(response):
        go.protocol = Hearing(go, hear, ended, touch)
        if response.code != 200:
            go.gone = True
            status = response.code
            if not ended.called:
                ended.callback(TurnedAway(status) if status in (421, 429, 503) else Broken(f"status {status}"))
        response.deliverBody(go.protocol)

    def failed(failure):
        if not ended.called:
            ended.callback(Broken(failure.type.__name__) if go.sent else NeverSent(failure.type.__name__))

    def tidy(result):
        for timer in (go.timer, whole):
            if timer.active():
                timer.cancel()
        return result

    go.timer = ctx.reactor.callLater(stallMs / 1000, lambda: stop(
        Stalled("silent") if go.sent else NeverSent("stalled")))
    whole = ctx.reactor.callLater(max(0.001, limitMs / 1000), lambda: stop(
        Stalled("limit") if go.sent else NeverSent("limit")))
    ended.addBoth(tidy)
    runner = go.runner
    go.request = ctx.agent.request(
        "POST", f"http://{runner.host}:{runner.port}{path}",
        headers={"content-type": ["application/json"], "x-runner": [runner.name],
                 "x-instance": [runner.instance]},
        data=Guarded(ctx, go, json.encode(document)), unbuffered=True, allow_redirects=False)
    go.request.addCallbacks(responded, failed)
    return ended, stop
