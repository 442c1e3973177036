"""A simulated deployment whose platform wants tasks, and what the platform and the runners saw of them."""

from contextlib import contextmanager

from msgspec import Struct, json

from frostpost.platform import front

from . import jobs, stage
from . import list as listings
from . import world as worlds
from .http import write

WINDOW_MS, USAGE_DELAY_MS, SEPARATION_MS, THAW_MS = 5000, 10000, 3000, 300
TENANTS, EPOCH_MS = 5, 1_800_000_000_000
# What takes the calls at the host of each listing.
PLATFORMS = {}
OK, BUSY, ERROR, RESET, SILENT = "ok", "busy", "error", "reset", "silent"


class PlatformCall(Struct):
    """A call for a task as the platform received it. status: what it answered, 0 for no answer."""

    at_ms: float
    kind: str
    subject: str
    owner: str
    fence: int
    body: bytes
    status: int


class Platform:
    """Answers the calls by `mode`, after `wait_ms`."""

    def __init__(self, world):
        self.world, self.calls, self.mode, self.wait_ms = world, [], OK, 5.0
        self.first_events = {}

    def receive(self, connection, message):
        """Record a call and answer it."""
        body, path = json.decode(bytes(message.body)), message.start.split(b" ")[1].decode()
        assert message.fields[b"content-type"] == b"application/json"
        subject = "" if path == "/usage" else f"{body['target']}|{body['zone']}"
        status = {OK: 200, BUSY: 429, ERROR: 503}.get(self.mode, 0)
        owner, fence = message.fields[b"x-duty-holder"].decode(), int(message.fields[b"x-fence-number"])
        now_ms = self.world.now_ms()
        self.calls.append(PlatformCall(now_ms, path, subject, owner, fence, bytes(message.body), status))
        if self.mode == RESET:
            connection.transport.abortConnection()
        elif status:
            fields = [(b"Content-Length", b"0"), (b"Retry-After", b"1")]
            response = write(b"HTTP/1.1 %d X" % status, fields)
            self.world.later(self.wait_ms, self.respond, connection, response)

    def respond(self, connection, response):
        """Write a response unless the connection has gone."""
        if connection.transport.connected:
            connection.transport.write(response)

    def accepted(self):
        """The calls that were answered with 200."""
        return [call for call in self.calls if call.status == 200]

    def usage(self):
        """The counts that were accepted, by window."""
        bodies = [json.decode(call.body) for call in self.accepted() if call.kind == "/usage"]
        return {body["window-seq"]: body["counts"] for body in bodies}


def tenant_of(program):
    """The tenant of a simulated program."""
    return f"tenant{sum(program.encode()) % TENANTS}" if program else ""


def violations(calls):
    """What breaks the rule that one daemon at a time makes the calls of a subject, as a list of texts."""
    found, owners, highest, counts, last = [], {}, {}, {}, {}
    for call in calls:
        key = (call.kind, call.subject)
        if owners.setdefault((*key, call.fence), call.owner) != call.owner:
            found.append(f"fence {call.fence} of {owners[*key, call.fence]} and {call.owner}")
        if call.fence < highest.get(key, 0):
            found.append(f"fence {call.fence} after {highest[key]}")
        highest[key] = max(call.fence, highest.get(key, 0))
        history = last.setdefault(key, [])
        for at_ms, owner in reversed(history):
            if owner == call.owner and call.at_ms - at_ms < SEPARATION_MS and history[-1][1] != owner:
                found.append(f"{owner} again {call.at_ms - at_ms:.0f} ms after its last call, another between")
                break
        history.append((call.at_ms, call.owner))
        if call.kind == "/usage":
            body = json.decode(call.body)
            if counts.setdefault(body["window-seq"], body) != body:
                found.append(f"window {body['window-seq']} with two counts")
    return found


def truth(world):
    """The requests that runners began to run, streamed ones with their first event, by window and tenant."""
    tenants, totals = {t.try_id: tenant_of(t.program) for t in world.notes.tries}, {}
    first_events = PLATFORMS[world.listing].first_events
    for run in world.notes.runs:
        at_ms, tenant = first_events.get(run.seal) if run.total else run.at_ms, tenants.get(run.try_id)
        if tenant and at_ms is not None:
            window = int((EPOCH_MS + at_ms) // WINDOW_MS)
            counts = totals.setdefault(window, {})
            counts[tenant] = counts.get(tenant, 0) + 1
    return totals


@contextmanager
def tasks_wanted(kinds=("usage_report", "scaling")):
    """Let deployments have a platform that wants tasks, and requests that have tenants."""
    document_of, parse_request, received = worlds.document_of, front.parse_request, listings.ListingConnection
    receive_list, start_stream = received.request_received, jobs.Job.start_stream

    def start(job, first):
        platform = next(iter(PLATFORMS.values()))
        start_stream(job, first)
        if job.run.pieces:
            platform.first_events[job.run.seal] = platform.world.now_ms()

    def document(world, daemon):
        settings = document_of(world, daemon)
        settings["timers"] |= {
            "lease-ms": SEPARATION_MS,
            "report-window-s": WINDOW_MS / 1000,
            "usage-delay-s": USAGE_DELAY_MS / 1000,
        }
        settings["cloud-api"] |= {"duties": list(kinds), "duty-per-s": 50.0}
        return settings

    def parse(request, started_ms):
        result = parse_request(request, started_ms)
        if result.is_ok():
            result.ok.tenant = tenant_of(result.ok.program)
        return result

    def receive(connection, message):
        if message.start.startswith(b"POST"):
            return PLATFORMS[connection.listing].receive(connection, message)
        return receive_list(connection, message)

    worlds.document_of, front.parse_request, received.request_received = document, parse, receive
    jobs.Job.start_stream = start
    try:
        yield
    finally:
        worlds.document_of, front.parse_request, received.request_received = document_of, parse_request, receive_list
        jobs.Job.start_stream = start_stream
        PLATFORMS.clear()


class TaskFleet:
    """A deployment with traffic; use within `tasks_wanted`."""

    def __init__(self, seed=3, shape=None, gap_ms=120.0, traffic_ms=60000, prepare=lambda world: None):
        def prepare_world(world):
            PLATFORMS.clear()
            self.platform = PLATFORMS[world.listing] = Platform(world)
            prepare(world)

        self.world, self.operators, status, _ = stage.open_(seed, shape, prepare_world)
        assert status == 200
        self.crowd = self.world.crowd = stage.crowd_of(self.world, "tasks")
        self.crowd.arrive(self.world.now_ms() + traffic_ms, gap_ms)

    def run(self, for_ms):
        """Let time pass."""
        self.world.run(self.world.now_ms() + for_ms)

    def run_until(self, condition, wait_ms):
        """Run until a condition holds; returns whether it does."""
        until_ms = self.world.now_ms() + wait_ms
        while not condition() and self.world.now_ms() < until_ms:
            self.run(5)
        return bool(condition())

    def daemon(self, name):
        """The daemon of this name."""
        return self.world.daemons[name]

    def due_windows(self):
        """The windows whose report was due by now, from the first one that was reported or due."""
        now_ms = EPOCH_MS + self.world.now_ms()
        last = int((now_ms - USAGE_DELAY_MS) // WINDOW_MS) - 1
        return list(range(EPOCH_MS // WINDOW_MS, last + 1))
