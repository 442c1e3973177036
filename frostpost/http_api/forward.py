"""One attempt at a runner: prove its identity, send the request under the lease, and hear the answer."""

from collections.abc import Callable

from msgspec import DecodeError, Struct, json
from twisted.internet.defer import Deferred, fail, inlineCallbacks, succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from frostpost.daemon.body_reader import read_body
from frostpost.daemon.context import clock_ms
from frostpost.daemon.core import holds_lease

from .http_client import http_agent

SAID_BYTES = 4096


class LeaseLostError(Exception):
    """The lease, the runner or the call was lost before the request was written."""


class Stalled(Struct, frozen=True, tag="Stalled"):
    """The runner was silent for too long after the request was sent."""

    why: str


class NeverSent(Struct, frozen=True, tag="NeverSent"):
    """The request was not sent; it is safe to try elsewhere."""

    why: str


class Refused(Struct, frozen=True, tag="Refused"):
    """The runner refused the request and says that nothing ran."""

    status: int


class Broken(Struct, frozen=True, tag="Broken"):
    """The connection or the answer broke after the request was sent; it may have run."""

    why: str


class TooMuch(Struct, frozen=True, tag="TooMuch"):
    """The answer was longer than allowed."""

    most: int


@implementer(IBodyProducer)
class Guarded:
    """The request's body; it is written only if lease, runner and call still stand at that moment."""

    def __init__(self, ctx, attempt, data):
        self.ctx, self.attempt, self.data, self.length = ctx, attempt, data, len(data)

    def startProducing(self, consumer):
        """Check lease, runner and call, then write the body at once."""
        if self.attempt.gone or not holds_lease(self.ctx.core, clock_ms(self.ctx)):
            return fail(LeaseLostError())
        if not may_run(self.ctx, self.attempt.runner) or not self.attempt.still():
            return fail(LeaseLostError())
        self.attempt.sent = True
        consumer.write(self.data)
        return succeed(None)

    def stopProducing(self):
        """Do nothing: the body is written at once."""
        return None

    def pauseProducing(self):
        """Do nothing: the body is written at once."""
        return None

    def resumeProducing(self):
        """Do nothing: the body is written at once."""
        return None


def may_run(ctx, runner):
    """Tell whether a runner is listed as it was chosen and is not draining."""
    held = ctx.core.ledger.runners.get(runner.name)
    leaving = f"{runner.name}/{runner.instance}" in ctx.core.ledger.leaving
    status = ctx.runner_health.get(runner.name)
    reported = status is not None and status.leaving and status.instance == runner.instance
    return held == runner and not leaving and not reported


def unsent(reason):
    """Tell whether a reason says that nothing ran."""
    return isinstance(reason, (NeverSent, Refused))


def ours(reason):
    """Tell whether an attempt failed for a reason on this side."""
    return isinstance(reason, NeverSent) and reason.why == "RequestGenerationFailed"


def always():
    """Return True: the default for a call that needs no further check."""
    return True


class Attempt(Struct):
    """One attempt at a runner and what is known of its progress."""

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
    """The body of a runner's answer, handed on as it arrives."""

    def __init__(self, attempt, hear, ended, touch):
        self.attempt, self.hear, self.ended, self.touch = attempt, hear, ended, touch

    def connectionMade(self):
        """Start paused if the client reads slowly."""
        if self.attempt.held:
            self.transport.pauseProducing()

    def dataReceived(self, data):
        """Hand on a piece and restart the silence timer."""
        if not self.attempt.gone:
            self.touch()
            self.hear(data)

    def connectionLost(self, reason):
        """End the attempt, whole or broken."""
        if not self.ended.called:
            whole = reason.check(ResponseDone)
            self.ended.callback(None if whole else Broken(reason.type.__name__))


@inlineCallbacks
def proved(ctx, attempt, client, base):
    """Ask a runner who it is; Deferred of whether it is the one chosen and not draining."""
    response = yield client.get(f"{base}/identity", unbuffered=True, allow_redirects=False)
    raw = yield read_body(response, SAID_BYTES)
    try:
        said = json.decode(raw)
        mine = (said["runner"], said["instance"]) == (attempt.runner.name, attempt.runner.instance)
        return response.code == 200 and mine and not said.get("leaving", False)
    except (DecodeError, KeyError, TypeError, AttributeError):
        return False


def never_ran(raw):
    """Tell whether a refusal says that nothing ran."""
    try:
        return json.decode(raw)["ran"] is False
    except (DecodeError, KeyError, TypeError):
        return False


def start(ctx, attempt, path, document, hear, deadline_ms):
    """Start an attempt; return (Deferred of the reason it ended or None if whole, stop function)."""
    ended, runner = Deferred(), attempt.runner
    attempt.ended = ended
    stall_ms = min(deadline_ms, ctx.settings.doors.stall_ms)
    base = f"http://{runner.host}:{runner.port}"
    pool, client = http_agent(ctx, most=1, persistent=True)

    def over(reason):
        if not ended.called:
            ended.callback(reason)

    def stop(reason):
        attempt.gone = True
        if attempt.protocol is not None and attempt.protocol.transport is not None:
            attempt.protocol.transport.loseConnection()
        elif attempt.request is not None:
            attempt.request.cancel()
        over(reason)

    def silent(why):
        stop(Stalled(why) if attempt.sent else NeverSent(why))

    def touch():
        if attempt.timer.active():
            attempt.timer.reset(stall_ms / 1000)

    def responded(response):
        if response.code == 200:
            attempt.protocol = Hearing(attempt, hear, ended, touch)
            response.deliverBody(attempt.protocol)
            return
        attempt.gone = True
        away = response.code in (421, 429, 503)

        def said(raw):
            over(Refused(response.code) if away and never_ran(raw) else Broken(f"status {response.code}"))

        read_body(response, SAID_BYTES).addCallbacks(said, lambda f: over(Broken(f.type.__name__)))

    def failed(failure):
        over(Broken(failure.type.__name__) if attempt.sent else NeverSent(failure.type.__name__))

    def send(known):
        if not known:
            pool.closeCachedConnections()
            return over(NeverSent("another service answers there, or it is leaving"))
        ctx.reactor.callLater(0, post)

    def post():
        if attempt.gone:
            return over(NeverSent("given up"))
        pool.persistent = False
        attempt.request = client.request(
            "POST",
            f"{base}{path}",
            headers={"content-type": ["application/json"], "x-runner": [runner.name], "x-instance": [runner.instance]},
            data=Guarded(ctx, attempt, json.encode(document)),
            unbuffered=True,
            allow_redirects=False,
        )
        attempt.request.addCallbacks(responded, failed)

    def tidy(result):
        for timer in (attempt.timer, whole):
            if timer.active():
                timer.cancel()
        ctx.reactor.callLater(0, pool.closeCachedConnections)
        return result

    attempt.timer = ctx.reactor.callLater(stall_ms / 1000, silent, "silent")
    whole = ctx.reactor.callLater(max(0.001, deadline_ms / 1000), silent, "limit")
    ended.addBoth(tidy)
    attempt.request = proved(ctx, attempt, client, base)
    attempt.request.addCallbacks(send, failed)
    return ended, stop
