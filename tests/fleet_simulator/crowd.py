"""Simulated client programs: sequences of turns with concurrent subprograms and tool calls, and their retries."""

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks

from .dial import dial
from .notes import Try
from .routes import KINDS, host_for
from .runners import EVENT_TOKENS

UNEXECUTED_STATUSES = (408, 421, 429, 503)
FINAL_STATUSES = (400, 401, 402, 404, 413, 431)
MAX_EVENTS = 7
MOST_TOKENS = MAX_EVENTS * EVENT_TOKENS
RUNAWAY_TURNS, RUNAWAY_GAP_S = 4, 0.2


class Crowd:
    """Clients that start programs.

    fronts: callable that returns the (host, port) pairs of the edges that accept new connections in a zone.
    """

    def __init__(self, host, notes, random, fronts, zones, tag):
        self.host, self.notes, self.random, self.fronts, self.zones = host, notes, random, fronts, zones
        self.serial, self.idle, self.turns, self.begun, self.ended, self.tag = 0, {}, [], 0, 0, tag

    def now_ms(self):
        return self.host.seconds() * 1000

    def pause(self, wait_s):
        elapsed = Deferred()
        self.host.callLater(wait_s, elapsed.callback, None)
        return elapsed

    @inlineCallbacks
    def connection(self, edge, fresh):
        """Returns an idle connection to an edge, or a new one."""
        idle = self.idle.setdefault(edge, [])
        while idle:
            candidate = idle.pop()
            if not fresh and not candidate.lost and not candidate.close:
                return candidate
            if not candidate.lost:
                candidate.transport.loseConnection()
        candidate = yield dial(self, edge)
        return candidate

    @inlineCallbacks
    def once(self, zone, request, fresh=False):
        """Send a request once. Returns it, with status 0 if there was no response."""
        self.notes.tries.append(request)
        request.sent_ms = self.now_ms()
        fronts = self.fronts(zone)
        connected = [e for e, connections in self.idle.items() if connections]
        edge = self.random.choice(connected if connected and not fresh and self.random.random() < 0.2 else fronts)
        request.edge = edge[0]
        try:
            line = yield self.connection(edge, fresh or self.random.random() < 0.4)
        except Exception as error:
            request.why, request.ended_ms = f"dial {type(error).__name__}", self.now_ms()
            return request
        timers = [self.host.callLater(request.left_ms / 1000 + 0.05, self.abandon, line, request)]
        if self.random.random() < 0.03:
            timers.append(self.host.callLater(self.random.uniform(0, 0.2), self.abandon, line, request))
        yield line.start(request)
        for timer in timers:
            if timer.active():
                timer.cancel()
        if request.whole and not line.close and not line.lost:
            self.idle[edge].append(line)
        elif not line.lost:
            line.transport.loseConnection()
        return request

    def abandon(self, line, request):
        """Close the connection if the request is still in progress on it."""
        if line.current is request:
            line.give_up()

    def make(self, path, program, **more):
        """Returns a `Try` with random body and time limit and the headers of its options."""
        self.serial += 1
        kind = KINDS.get(path[: path.find("/", 1) + 1], "unsafe")
        body = more.pop("body", f"b{self.serial};".encode() * self.random.randint(1, 4))
        try_id = f"{self.tag}{self.serial}-{self.random.getrandbits(40):x}"
        request = Try(
            try_id,
            kind,
            path,
            body,
            self.random.randint(1500, 4000),
            [],
            host=host_for(path, try_id),
            program=program,
            **more,
        )
        for name, value in (
            (b"X-Program-Id", program),
            (b"X-Session-Id", program and program + "s"),
            (b"X-Operation-Key", request.key),
            (b"X-Previous-Turn", request.previous),
            (b"X-Token-Budget", request.budget is not None and str(request.budget)),
            (b"X-Token-Count", request.most and f"100,{request.most}"),
            (b"X-Prompt-Prefix", request.most and "aa:60,bb:40"),
            (b"Last-Event-Id", request.last_event),
        ):
            if value:
                request.headers.append((name, value.encode()))
        return request

    @inlineCallbacks
    def send_with_retries(self, zone, path, program, tries, **more):
        """Send a request with retries. Returns the last attempt."""
        request = None
        for number in range(tries):
            request = yield self.once(zone, self.make(path, program, **more), number > 0)
            if request.whole and (200 <= request.status < 300 or request.status in FINAL_STATUSES):
                return request
            unsent = request.written_ms < 0
            if not (
                unsent
                or request.whole
                and request.status in UNEXECUTED_STATUSES
                or request.kind in ("safe", "idempotent")
            ):
                return request
            yield self.pause(min(0.6, max(0.02, request.retry_ms / 1000)))
            if request.kind == "idempotent" and self.random.random() < 0.3:
                zone = self.random.choice(self.zones)
        return request

    @inlineCallbacks
    def turn(self, zone, program, budget, previous):
        """Send a turn with retries. Returns the `Try` that succeeded, or None."""
        for _ in range(3):
            request = yield self.send_with_retries(
                zone, "/chat/x", program, 2, previous=previous, budget=budget, most=MOST_TOKENS
            )
            if request.whole and request.status == 200:
                self.turns.append(request)
                self.notes.tap(request)
                return request
            if request.status in FINAL_STATUSES:
                return None
            yield self.pause(self.random.uniform(0.1, 0.4))
        return None

    def new_key(self):
        """Return an operation key that was not used before."""
        return f"k{self.random.getrandbits(40):x}"

    @inlineCallbacks
    def tool(self, zone, program):
        """Call a random tool; sometimes repeat a call with an operation key within or after its window."""
        path = self.random.choice(("/safe/a?q=1", "/unsafe/b", "/keyed/c", "/keyed/c", "/free/d", "/moved/e"))
        more = {}
        if path.startswith("/keyed"):
            more = {"key": self.new_key(), "body": b"once"}
        if path.startswith("/free"):
            more = {"most": MOST_TOKENS}
        request = yield self.send_with_retries(zone, path, program, 3 if "key" in more else 2, **more)
        if "key" in more and self.random.random() < 0.4:
            window_s = (request.sent_ms + self.notes.sheet["window"] - self.now_ms()) / 1000
            yield self.pause(self.random.choice((0.05, 0.5, 2, 5, max(0, window_s - self.random.uniform(0.01, 0.6)))))
            yield self.send_with_retries(self.random.choice(self.zones), path, program, 2, **more)
        return request

    @inlineCallbacks
    def turns_in_sequence(self, zone, program, budget, previous, count, depth=0):
        """Send turns that each continue the previous one, with tool calls and concurrent branches."""
        for _ in range(count):
            completed = yield self.turn(zone, program, budget, previous)
            if completed is None:
                return
            previous = completed.try_id
            if self.random.random() < 0.5:
                yield DeferredList([self.tool(zone, program) for _ in range(self.random.randint(1, 2))])
            if depth < 1 and self.random.random() < 0.25:
                yield DeferredList(
                    [
                        self.turns_in_sequence(zone, program, budget, previous, 2, depth + 1)
                        for _ in range(self.random.randint(1, 3))
                    ]
                )

    @inlineCallbacks
    def program(self):
        """Run one program; it may continue an earlier session."""
        self.begun += 1
        random, zone = self.random, self.random.choice(self.zones)
        previous, retained = "", [t for t in self.turns if self.now_ms() - t.ended_ms < self.notes.sheet["keep"] - 50]
        expiring = [t for t in retained if self.now_ms() - t.ended_ms > self.notes.sheet["keep"] - 700]
        if retained and random.random() < 0.25:
            previous = random.choice(expiring if expiring and random.random() < 0.5 else retained).try_id
        budget = random.choice((1, 3, 20)) * MOST_TOKENS
        yield self.turns_in_sequence(zone, f"{self.tag}{self.begun}", budget, previous, random.randint(1, 4))
        self.ended += 1

    @inlineCallbacks
    def arrive(self, until_ms, gap_ms):
        """Start programs until `until_ms`, `gap_ms` apart on average."""
        while self.now_ms() < until_ms:
            self.program()
            if self.random.random() < 0.4:
                self.probe()
            yield self.pause(self.random.expovariate(1) * gap_ms / 1000)

    @inlineCallbacks
    def run_away(self, until_ms):
        """Run programs without any tokens one after the other, which send turns whatever they are answered."""
        while self.now_ms() < until_ms:
            self.begun += 1
            for _ in range(RUNAWAY_TURNS):
                request = self.make("/chat/x", f"{self.tag}{self.begun}", budget=0, most=MOST_TOKENS)
                yield self.once(self.random.choice(self.zones), request)
                yield self.pause(RUNAWAY_GAP_S)

    def probe(self):
        """Send a request on a route of a recent version, whether or not it is current."""
        versions = self.notes.versions
        if versions:
            paths = [p for p in self.random.choice(versions[-6:]).paths if p[:2] in ("/v", "/m", "/b")]
            self.once(self.random.choice(self.zones), self.make(self.random.choice(paths) + "p", ""))
