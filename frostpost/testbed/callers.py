"""Stand-in callers that send turns and lookups and record the responses in an event log."""

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

from .event_log import EventLog
from .templates import DEPLOYMENTS


class BodyCollector(Protocol):
    """Collects a response's body."""

    def __init__(self):
        self.data, self.done, self.times = bytearray(), Deferred(), []

    def dataReceived(self, data):
        """Append received data."""
        self.data += data

    def connectionLost(self, reason):
        """Fire `done` with whether the body is complete."""
        self.done.callback(bool(reason.check(ResponseDone)))


class CallerGroup:
    """Callers that share an HTTP client; at most `max_active` programs run at once."""

    __slots__ = (
        "reactor",
        "client",
        "addresses",
        "random",
        "events",
        "serial",
        "active_programs",
        "tag",
        "max_active",
        "end_s",
    )

    def __init__(self, reactor, addresses, seed, events, tag="p", max_active=600):
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost, pool.retryAutomatically = 40, False
        self.reactor = reactor
        self.client = HTTPClient(Agent.usingEndpointFactory(reactor, NumericEndpointFactory(reactor, 1), pool))
        self.addresses, self.random, self.events = addresses, Random(seed), events
        self.serial, self.active_programs, self.tag, self.max_active = 0, 0, tag, max_active


def request_body(reactor, raw):
    """Return a body producer for bytes."""
    return FileBodyProducer(BytesIO(raw), Cooperator(scheduler=lambda call: reactor.callLater(0, call)))


def sleep(reactor, wait_s):
    """Return a Deferred that fires after some seconds."""
    done = Deferred()
    reactor.callLater(wait_s, done.callback, None)
    return done


@inlineCallbacks
def post_request(group, path, document):
    """Send a request; records the request and its response."""
    group.serial += 1
    request_id = f"{group.tag}{group.serial}"
    address = group.random.choice(group.addresses)
    start_s = group.reactor.seconds()
    group.events.record("asked", request=request_id, path=path, document=document, door=address)
    status, complete, raw, retry_after = 0, False, b"", None
    try:
        response = yield group.client.post(
            f"http://{address}{path}",
            request_body(group.reactor, json.encode(document)),
            headers={"x-request": [request_id], "content-type": ["application/json"]},
            unbuffered=True,
        )
        status = response.code
        retry_after = (response.headers.getRawHeaders("retry-after") or [None])[0]
        body = BodyCollector()
        response.deliverBody(body)
        complete = yield body.done
        raw = bytes(body.data)
    except Exception as error:
        raw = json.encode({"error": {"type": f"Link{type(error).__name__}"}})
    lines = []
    for line in raw.split(b"\n"):
        try:
            lines.append(json.decode(line)) if line else None
        except DecodeError:
            complete = False
    latency_ms = round((group.reactor.seconds() - start_s) * 1000, 1)
    group.events.record(
        "answered",
        request=request_id,
        status=status,
        whole=complete,
        lines=lines,
        retry_after=retry_after,
        took_ms=latency_ms,
    )
    return status, complete, lines, retry_after


@inlineCallbacks
def read_history(group, path):
    """Read a program's history and record it."""
    address, sent_ms = group.random.choice(group.addresses), int(group.events.seconds() * 1000)
    try:
        response = yield group.client.get(f"http://{address}{path}", timeout=5, reactor=group.reactor)
        raw = yield response.content()
        document = json.decode(raw)
    except Exception as error:
        group.events.record("unread", path=path, error=type(error).__name__)
        return
    group.events.record("read", path=path, door=address, asked_ms=sent_ms, status=response.code, document=document)


@inlineCallbacks
def post_with_retries(group, path, document, attempts=4):
    """Send a request, and repeat it as long as the response has a `retry-after`."""
    for _ in range(attempts):
        status, complete, lines, retry_after = yield post_request(group, path, document)
        if status not in (409, 429, 503) or retry_after is None:
            break
        yield sleep(group.reactor, float(retry_after) * (0.5 + group.random.random()))
    return status, complete, lines


@inlineCallbacks
def run_program(group, tenant, route, lookups):
    """Run one program: one to three turns, each followed by a lookup."""
    if group.active_programs >= group.max_active:
        group.events.record("withheld", tenant=tenant, route=route)
        return
    group.active_programs += 1
    try:
        group.serial += 1
        name = f"{group.tag}-{route}-{group.serial}"
        for turn in range(1 + group.random.randrange(3)):
            yield post_with_retries(
                group,
                f"/v1/tenants/{tenant}/routes/{route}/turns",
                {"program": name, "input": f"{name} turn {turn} of the shared prompt"},
            )
            kind = group.random.choice(lookups)
            document = {"input": f"{name}/{turn}"}
            if kind in ("claims", "notices"):
                document["key"] = f"{name}/{turn}"
                duplicate = post_request(group, f"/v1/tenants/{tenant}/routes/{kind}/lookups", document)
                yield post_with_retries(group, f"/v1/tenants/{tenant}/routes/{kind}/lookups", document)
                yield duplicate
            else:
                yield post_with_retries(group, f"/v1/tenants/{tenant}/routes/{kind}/lookups", document)
            if group.random.random() < 0.3:
                yield read_history(group, f"/v1/tenants/{tenant}/programs/{name}")
    finally:
        group.active_programs -= 1


def run_arrivals(group, seconds, factor, done):
    """Start programs at the deployments' rates; calls `done` once all have finished."""
    reactor = group.reactor
    group.end_s = reactor.seconds() + seconds
    running = []

    def start_program(tenant, route, rate, lookups):
        if reactor.seconds() >= group.end_s:
            return
        running.append(run_program(group, tenant, route, lookups))
        reactor.callLater(group.random.expovariate(rate * factor), start_program, tenant, route, rate, lookups)

    for tenant, deployment in DEPLOYMENTS.items():
        for route, rate in deployment.items():
            if route != "lookups":
                start_program(tenant, route, rate, deployment["lookups"])

    def stop_if_finished():
        if reactor.seconds() >= group.end_s and (group.active_programs == 0 or reactor.seconds() > group.end_s + 40):
            group.events.record("over", still_open=group.active_programs)
            done()
        else:
            reactor.callLater(0.1, stop_if_finished)

    stop_if_finished()


@cappa.command(name="callers", help="Stand-in callers of both deployments.")
class Callers(Struct, kw_only=True):
    """Arguments of the command."""

    notes: Annotated[str, cappa.Arg(help="file for the callers' event log")]
    doors: Annotated[list[str], cappa.Arg(long="--door", help="IP:port of an edge daemon; may be repeated")]
    seconds: Annotated[float, cappa.Arg(long=True, help="how long programs are started")] = 10.0
    factor: Annotated[float, cappa.Arg(long=True, help="multiple of the deployments' rates")] = 1.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    tag: Annotated[str, cappa.Arg(long=True, help="prefix of every request id")] = "p"


def main():
    """Run the command line; returns the exit status."""
    from twisted.internet import reactor

    command = cappa.parse(Callers)
    group = CallerGroup(reactor, command.doors, command.seed, EventLog(command.notes), command.tag)

    def stop_arrivals():
        group.end_s = min(group.end_s, reactor.seconds())

    reactor.addSystemEventTrigger(
        "after", "startup", lambda: signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop_arrivals))
    )
    reactor.callWhenRunning(run_arrivals, group, command.seconds, command.factor, reactor.stop)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
