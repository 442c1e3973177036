from collections.abc import Callable

from msgspec import DecodeError, Struct, json
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, fail, inlineCallbacks, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import lease_ok

from .reading import gather

SAID_BYTES = 4096


class LeaseLostError(Exception):
    pass


class Stalled(Struct, frozen=True, tag="Stalled"):
    why: str


class NeverSent(Struct, frozen=True, tag="NeverSent"):
    why: str


class TurnedAway(Struct, frozen=True, tag="TurnedAway"):
    status: int


class Broken(Struct, frozen=True, tag="Broken"):
    why: str


class TooMuch(Struct, frozen=True, tag="TooMuch"):
    most: int


@implementer(IBodyProducer)
class Guarded:
    def __init__(self, ctx, go, data):
        self.ctx, self.go, self.data, self.length = ctx, go, data, len(data)

    def startProducing(self, consumer):
        if self.go.gone or not lease_ok(self.ctx.core, clock_ms(self.ctx)):
            return fail(LeaseLostError())
        if not may_run(self.ctx, self.go.runner) or not self.go.still():
            return fail(LeaseLostError())
        self.go.sent = True
        consumer.write(self.data)
        return succeed(None)

    def stopProducing(self):
        return None

    def pauseProducing(self):
        return None

    def resumeProducing(self):
        return None


def may_run(ctx, runner):
    held = ctx.core.ledger.runners.get(runner.name)
    leaving = f"{runner.name}/{runner.instance}" in ctx.core.ledger.leaving
    status = ctx.statuses.get(runner.name)
    reported = status is not None and status.leaving and status.instance == runner.instance
    return held == runner and not leaving and not reported


def unsent(reason):
    return isinstance(reason, (NeverSent, TurnedAway))


def ours(reason):
    return isinstance(reason, NeverSent) and reason.why == "RequestGenerationFailed"


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
    held: bool = False


class Hearing(Protocol):
    def __init__(self, go, hear, ended, touch):
        self.go, self.hear, self.ended, self.touch = go, hear, ended, touch

    def connectionMade(self):
        if self.go.held:
            self.transport.pauseProducing()

    def dataReceived(self, data):
        if not self.go.gone:
            self.touch()
            self.hear(data)

    def connectionLost(self, reason):
        if not self.ended.called:
            whole = reason.check(ResponseDone)
            self.ended.callback(None if whole else Broken(reason.type.__name__))


@implementer(IAgentEndpointFactory)
class ByNumber:
    __slots__ = ("reactor", "wait_s", "most", "made")

    def __init__(self, reactor, wait_s, most=1 << 60):
        self.reactor, self.wait_s, self.most, self.made = reactor, wait_s, most, 0

    def endpointForURI(self, uri):
        self.made += 1
        return Numbered(self, TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=self.wait_s))


class Numbered:
    __slots__ = ("factory", "endpoint")

    def __init__(self, factory, endpoint):
        self.factory, self.endpoint = factory, endpoint

    def connect(self, protocolFactory):
        self.factory.most -= 1
        if self.factory.most < 0:
            return fail(ConnectionRefusedError("one connection only"))
        return self.endpoint.connect(protocolFactory)


def agent(ctx, most=1 << 60, persistent=False):
    pool = HTTPConnectionPool(ctx.reactor, persistent=persistent)
    pool.retryAutomatically, pool.maxPersistentPerHost = False, 1
    ends = ByNumber(ctx.reactor, ctx.settings.doors.connect_ms / 1000, most)
    return pool, HTTPClient(Agent.usingEndpointFactory(ctx.reactor, ends, pool=pool))


@inlineCallbacks
def proved(ctx, go, client, base):
    response = yield client.get(f"{base}/identity", unbuffered=True, allow_redirects=False)
    raw = yield gather(response, SAID_BYTES)
    try:
        said = json.decode(raw)
        mine = (said["runner"], said["instance"]) == (go.runner.name, go.runner.instance)
        return response.code == 200 and mine and not said.get("leaving", False)
    except (DecodeError, KeyError, TypeError, AttributeError):
        return False


def never_ran(raw):
    try:
        return json.decode(raw)["ran"] is False
    except (DecodeError, KeyError, TypeError):
        return False


def start(ctx, go, path, document, hear, limit_ms):
    ended, runner = Deferred(), go.runner
    go.ended = ended
    stall_ms = min(limit_ms, ctx.settings.doors.stall_ms)
    base = f"http://{runner.host}:{runner.port}"
    pool, client = agent(ctx, most=1, persistent=True)

    def over(reason):
        if not ended.called:
            ended.callback(reason)

    def stop(reason):
        go.gone = True
        if go.protocol is not None and go.protocol.transport is not None:
            go.protocol.transport.loseConnection()
        elif go.request is not None:
            go.request.cancel()
        over(reason)

    def silent(why):
        stop(Stalled(why) if go.sent else NeverSent(why))

    def touch():
        if go.timer.active():
            go.timer.reset(stall_ms / 1000)

    def responded(response):
        if response.code == 200:
            go.protocol = Hearing(go, hear, ended, touch)
            response.deliverBody(go.protocol)
            return
        go.gone = True
        away = response.code in (421, 429, 503)

        def said(raw):
            over(TurnedAway(response.code) if away and never_ran(raw) else Broken(f"status {response.code}"))

        gather(response, SAID_BYTES).addCallbacks(said, lambda f: over(Broken(f.type.__name__)))

    def failed(failure):
        over(Broken(failure.type.__name__) if go.sent else NeverSent(failure.type.__name__))

    def send(known):
        if not known:
            pool.closeCachedConnections()
            return over(NeverSent("another service answers there, or it is leaving"))
        ctx.reactor.callLater(0, post)

    def post():
        if go.gone:
            return over(NeverSent("given up"))
        pool.persistent = False
        go.request = client.request(
            "POST",
            f"{base}{path}",
            headers={"content-type": ["application/json"], "x-runner": [runner.name], "x-instance": [runner.instance]},
            data=Guarded(ctx, go, json.encode(document)),
            unbuffered=True,
            allow_redirects=False,
        )
        go.request.addCallbacks(responded, failed)

    def tidy(result):
        for timer in (go.timer, whole):
            if timer.active():
                timer.cancel()
        ctx.reactor.callLater(0, pool.closeCachedConnections)
        return result

    go.timer = ctx.reactor.callLater(stall_ms / 1000, silent, "silent")
    whole = ctx.reactor.callLater(max(0.001, limit_ms / 1000), silent, "limit")
    ended.addBoth(tidy)
    go.request = proved(ctx, go, client, base)
    go.request.addCallbacks(send, failed)
    return ended, stop
