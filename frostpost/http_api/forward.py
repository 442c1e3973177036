"""One attempt at a runner: verify its identity, send the request under the lease and read the response."""

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

MAX_REPLY_BYTES = 4096


class LeaseLostError(Exception):
    """The lease, the runner or the call became invalid before the request was written."""


class Stalled(Struct, frozen=True, tag="Stalled"):
    """The runner sent no data for too long, or the deadline passed, after the request was sent."""

    why: str


class NeverSent(Struct, frozen=True, tag="NeverSent"):
    """The request was not sent; another runner may be tried."""

    why: str


class Refused(Struct, frozen=True, tag="Refused"):
    """The runner refused the request and reports that it did not run it."""

    status: int


class Broken(Struct, frozen=True, tag="Broken"):
    """The connection or the response failed after the request was sent; it may have run."""

    why: str


class TooMuch(Struct, frozen=True, tag="TooMuch"):
    """The response was longer than allowed; most: the bound in bytes."""

    most: int


@implementer(IBodyProducer)
class LeaseGuardedBody:
    """A request body that is written only if lease, runner and call are still valid at that moment."""

    def __init__(self, ctx, attempt, data):
        self.ctx, self.attempt, self.data, self.length = ctx, attempt, data, len(data)

    def startProducing(self, consumer):
        """Check lease, runner and call, then write the body in the same turn of the event loop."""
        if self.attempt.is_cancelled or not holds_lease(self.ctx.core, clock_ms(self.ctx)):
            return fail(LeaseLostError())
        if not is_available(self.ctx, self.attempt.runner) or not self.attempt.may_proceed():
            return fail(LeaseLostError())
        self.attempt.sent = True
        consumer.write(self.data)
        return succeed(None)

    def stopProducing(self):
        """Do nothing: the whole body is written by startProducing."""
        return None

    def pauseProducing(self):
        """Do nothing: the whole body is written by startProducing."""
        return None

    def resumeProducing(self):
        """Do nothing: the whole body is written by startProducing."""
        return None


def is_available(ctx, runner):
    """Return whether a runner is still registered as it was when selected and is not draining."""
    registered = ctx.core.ledger.runners.get(runner.name)
    is_draining = f"{runner.name}/{runner.instance}" in ctx.core.ledger.leaving
    status = ctx.runner_health.get(runner.name)
    reports_draining = status is not None and status.leaving and status.instance == runner.instance
    return registered == runner and not is_draining and not reports_draining


def was_not_run(reason):
    """Return whether an attempt that ended for this reason certainly did not run."""
    return isinstance(reason, (NeverSent, Refused))


def is_local_failure(reason):
    """Return whether an attempt failed in this daemon before it reached the runner."""
    return isinstance(reason, NeverSent) and reason.why == "RequestGenerationFailed"


def always_true():
    """Return True; default for attempts without a further condition."""
    return True


class Attempt(Struct):
    """The state of one attempt at a runner; may_proceed is checked just before the request is written."""

    runner: object
    may_proceed: Callable = always_true
    sent: bool = False
    is_cancelled: bool = False
    ended: object = None
    protocol: object = None
    request: object = None
    stall_timer: object = None
    is_paused: bool = False


class ResponseReceiver(Protocol):
    """Receives the body of a runner's response and passes it on as it arrives."""

    def __init__(self, attempt, on_data, ended, on_activity):
        self.attempt, self.on_data, self.ended, self.on_activity = attempt, on_data, ended, on_activity

    def connectionMade(self):
        """Pause at once if the client's flow control is already paused."""
        if self.attempt.is_paused:
            self.transport.pauseProducing()

    def dataReceived(self, data):
        """Pass on a chunk and restart the stall timer."""
        if not self.attempt.is_cancelled:
            self.on_activity()
            self.on_data(data)

    def connectionLost(self, reason):
        """End the attempt with None for a complete response, else with Broken."""
        if not self.ended.called:
            is_complete = reason.check(ResponseDone)
            self.ended.callback(None if is_complete else Broken(reason.type.__name__))


@inlineCallbacks
def verify_identity(ctx, attempt, client, base_url):
    """Query a runner's identity; returns whether it is the selected instance and is not draining."""
    response = yield client.get(f"{base_url}/identity", unbuffered=True, allow_redirects=False)
    raw = yield read_body(response, MAX_REPLY_BYTES)
    try:
        document = json.decode(raw)
        is_expected = (document["runner"], document["instance"]) == (attempt.runner.name, attempt.runner.instance)
        return response.code == 200 and is_expected and not document.get("leaving", False)
    except (DecodeError, KeyError, TypeError, AttributeError):
        return False


def reports_not_run(raw):
    """Return whether the body of a refusal states that the request did not run."""
    try:
        return json.decode(raw)["ran"] is False
    except (DecodeError, KeyError, TypeError):
        return False


def start_attempt(ctx, attempt, path, document, on_data, deadline_ms):
    """Start an attempt; returns a Deferred and a function that stops the attempt with a reason.

    The Deferred fires with the reason for the end, or with None after a complete response.
    """
    ended, runner = Deferred(), attempt.runner
    attempt.ended = ended
    stall_ms = min(deadline_ms, ctx.settings.doors.stall_ms)
    base_url = f"http://{runner.host}:{runner.port}"
    pool, client = http_agent(ctx, max_connections=1, persistent=True)

    def end_attempt(reason):
        if not ended.called:
            ended.callback(reason)

    def stop(reason):
        attempt.is_cancelled = True
        if attempt.protocol is not None and attempt.protocol.transport is not None:
            attempt.protocol.transport.loseConnection()
        elif attempt.request is not None:
            attempt.request.cancel()
        end_attempt(reason)

    def on_timeout(cause):
        stop(Stalled(cause) if attempt.sent else NeverSent(cause))

    def on_activity():
        if attempt.stall_timer.active():
            attempt.stall_timer.reset(stall_ms / 1000)

    def on_response(response):
        if response.code == 200:
            attempt.protocol = ResponseReceiver(attempt, on_data, ended, on_activity)
            response.deliverBody(attempt.protocol)
            return
        attempt.is_cancelled = True
        refused = response.code in (421, 429, 503)

        def on_error_body(raw):
            end_attempt(
                Refused(response.code) if refused and reports_not_run(raw) else Broken(f"status {response.code}")
            )

        read_body(response, MAX_REPLY_BYTES).addCallbacks(on_error_body, lambda f: end_attempt(Broken(f.type.__name__)))

    def on_failure(failure):
        end_attempt(Broken(failure.type.__name__) if attempt.sent else NeverSent(failure.type.__name__))

    def on_identity(is_verified):
        if not is_verified:
            pool.closeCachedConnections()
            return end_attempt(NeverSent("another service answers there, or it is leaving"))
        ctx.reactor.callLater(0, send_request)

    def send_request():
        if attempt.is_cancelled:
            return end_attempt(NeverSent("given up"))
        pool.persistent = False
        attempt.request = client.request(
            "POST",
            f"{base_url}{path}",
            headers={"content-type": ["application/json"], "x-runner": [runner.name], "x-instance": [runner.instance]},
            data=LeaseGuardedBody(ctx, attempt, json.encode(document)),
            unbuffered=True,
            allow_redirects=False,
        )
        attempt.request.addCallbacks(on_response, on_failure)

    def clean_up(result):
        for timer in (attempt.stall_timer, deadline_timer):
            if timer.active():
                timer.cancel()
        ctx.reactor.callLater(0, pool.closeCachedConnections)
        return result

    attempt.stall_timer = ctx.reactor.callLater(stall_ms / 1000, on_timeout, "silent")
    deadline_timer = ctx.reactor.callLater(max(0.001, deadline_ms / 1000), on_timeout, "limit")
    ended.addBoth(clean_up)
    attempt.request = verify_identity(ctx, attempt, client, base_url)
    attempt.request.addCallbacks(on_identity, on_failure)
    return ended, stop
