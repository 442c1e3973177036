"""Stand-in callers that send turns and lookups and note what they are told."""

import signal
import sys
from io import BytesIO
from random import Random
from typing import Annotated

import cappa
from msgspec import DecodeError, Struct, json
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import Protocol
from twisted.internet.task import Cooperator
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, ResponseDone

from frostpost.http_api.http_client import NumericEndpointFactory

from .notes import Notes
from .templates import DEPLOYMENTS


class Reading(Protocol):
    """Collects a response's body."""

    def __init__(self):
        self.data, self.done, self.times = bytearray(), Deferred(), []

    def dataReceived(self, data):
        """Add a piece."""
        self.data += data

    def connectionLost(self, reason):
        """Tell whether the body is whole."""
        self.done.callback(bool(reason.check(ResponseDone)))


class Crowd:
    """Callers that share a client; most: how many programs run at once."""

    __slots__ = ("reactor", "client", "doors", "random", "notes", "serial", "open", "tag", "most", "end_s")

    def __init__(self, reactor, doors, seed, notes, tag="p", most=600):
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost, pool.retryAutomatically = 40, False
        self.reactor = reactor
        self.client = HTTPClient(Agent.usingEndpointFactory(reactor, NumericEndpointFactory(reactor, 1), pool))
        self.doors, self.random, self.notes = doors, Random(seed), notes
        self.serial, self.open, self.tag, self.most = 0, 0, tag, most


def body_of(reactor, raw):
    """Return a request body."""
    return FileBodyProducer(BytesIO(raw), Cooperator(scheduler=lambda call: reactor.callLater(0, call)))


def rest(reactor, wait_s):
    """Return a Deferred that fires after some seconds."""
    done = Deferred()
    reactor.callLater(wait_s, done.callback, None)
    return done


@inlineCallbacks
def post(crowd, path, document):
    """Send a request and note both it and its response."""
    crowd.serial += 1
    request = f"{crowd.tag}{crowd.serial}"
    door = crowd.random.choice(crowd.doors)
    start_s = crowd.reactor.seconds()
    crowd.notes.say("asked", request=request, path=path, document=document, door=door)
    status, whole, raw, retry = 0, False, b"", None
    try:
        response = yield crowd.client.post(
            f"http://{door}{path}",
            body_of(crowd.reactor, json.encode(document)),
            headers={"x-request": [request], "content-type": ["application/json"]},
            unbuffered=True,
        )
        status = response.code
        retry = (response.headers.getRawHeaders("retry-after") or [None])[0]
        reading = Reading()
        response.deliverBody(reading)
        whole = yield reading.done
        raw = bytes(reading.data)
    except Exception as error:
        raw = json.encode({"error": {"type": f"Link{type(error).__name__}"}})
    lines = []
    for line in raw.split(b"\n"):
        try:
            lines.append(json.decode(line)) if line else None
        except DecodeError:
            whole = False
    took_ms = round((crowd.reactor.seconds() - start_s) * 1000, 1)
    crowd.notes.say(
        "answered", request=request, status=status, whole=whole, lines=lines, retry_after=retry, took_ms=took_ms
    )
    return status, whole, lines, retry


@inlineCallbacks
def look(crowd, path):
    """Read a program's history and note it."""
    door, asked_ms = crowd.random.choice(crowd.doors), int(crowd.notes.seconds() * 1000)
    try:
        response = yield crowd.client.get(f"http://{door}{path}", timeout=5, reactor=crowd.reactor)
        raw = yield response.content()
        document = json.decode(raw)
    except Exception as error:
        crowd.notes.say("unread", path=path, error=type(error).__name__)
        return
    crowd.notes.say("read", path=path, door=door, asked_ms=asked_ms, status=response.code, document=document)


@inlineCallbacks
def insist(crowd, path, document, attempts=4):
    """Send a request again, as long as the response says when to come back."""
    for _ in range(attempts):
        status, whole, lines, retry = yield post(crowd, path, document)
        if status not in (409, 429, 503) or retry is None:
            break
        yield rest(crowd.reactor, float(retry) * (0.5 + crowd.random.random()))
    return status, whole, lines


@inlineCallbacks
def program(crowd, tenant, route, lookups):
    """Run one program: a few turns, each with lookups."""
    if crowd.open >= crowd.most:
        crowd.notes.say("withheld", tenant=tenant, route=route)
        return
    crowd.open += 1
    try:
        crowd.serial += 1
        name = f"{crowd.tag}-{route}-{crowd.serial}"
        for turn in range(1 + crowd.random.randrange(3)):
            yield insist(
                crowd,
                f"/v1/tenants/{tenant}/routes/{route}/turns",
                {"program": name, "input": f"{name} turn {turn} of the shared prompt"},
            )
            kind = crowd.random.choice(lookups)
            document = {"input": f"{name}/{turn}"}
            if kind in ("claims", "notices"):
                document["key"] = f"{name}/{turn}"
                again = post(crowd, f"/v1/tenants/{tenant}/routes/{kind}/lookups", document)
                yield insist(crowd, f"/v1/tenants/{tenant}/routes/{kind}/lookups", document)
                yield again
            else:
                yield insist(crowd, f"/v1/tenants/{tenant}/routes/{kind}/lookups", document)
            if crowd.random.random() < 0.3:
                yield look(crowd, f"/v1/tenants/{tenant}/programs/{name}")
    finally:
        crowd.open -= 1


def arrivals(crowd, seconds, factor, done):
    """Start programs at the deployments' rates, and call `done` once all have ended."""
    reactor = crowd.reactor
    crowd.end_s = reactor.seconds() + seconds
    running = []

    def arrive(tenant, route, rate, lookups):
        if reactor.seconds() >= crowd.end_s:
            return
        running.append(program(crowd, tenant, route, lookups))
        reactor.callLater(crowd.random.expovariate(rate * factor), arrive, tenant, route, rate, lookups)

    for tenant, shape in DEPLOYMENTS.items():
        for route, rate in shape.items():
            if route != "lookups":
                arrive(tenant, route, rate, shape["lookups"])

    def check():
        if reactor.seconds() >= crowd.end_s and (crowd.open == 0 or reactor.seconds() > crowd.end_s + 40):
            crowd.notes.say("over", still_open=crowd.open)
            done()
        else:
            reactor.callLater(0.1, check)

    check()


@cappa.command(name="callers", help="Stand-in callers of both deployments, at the brief's rates.")
class Callers(Struct, kw_only=True):
    """Arguments of the command."""

    notes: Annotated[str, cappa.Arg(help="file that the callers' notes go to")]
    doors: Annotated[list[str], cappa.Arg(long="--door", help="IP:port of an edge daemon; may be given again")]
    seconds: Annotated[float, cappa.Arg(long=True, help="how long programs arrive")] = 10.0
    factor: Annotated[float, cappa.Arg(long=True, help="times the brief's rates")] = 1.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    tag: Annotated[str, cappa.Arg(long=True, help="start of every request id")] = "p"


def main():
    """Run the command line; returns the exit status."""
    from twisted.internet import reactor

    command = cappa.parse(Callers)
    crowd = Crowd(reactor, command.doors, command.seed, Notes(command.notes), command.tag)

    def over():
        crowd.end_s = min(crowd.end_s, reactor.seconds())

    reactor.addSystemEventTrigger(
        "after", "startup", lambda: signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(over))
    )
    reactor.callWhenRunning(arrivals, crowd, command.seconds, command.factor, reactor.stop)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
