"""Clients' programs: lines of turns, helpers side by side, tools; tries again as the platform's clients do."""

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks

from .dial import dial
from .notes import Try
from .routes import KINDS
from .runners import EVENT_TOKENS

PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 402, 404, 413, 431)
MOST_EVENTS = 7
MOST_TOKENS = MOST_EVENTS * EVENT_TOKENS


class Crowd:
    """fronts(zone) -> (host, port) of the edges that get new connections there."""

    def __init__(self, host, notes, random, fronts, zones, tag):
        self.host, self.notes, self.random, self.fronts, self.zones = host, notes, random, fronts, zones
        self.serial, self.idle, self.turns, self.begun, self.ended, self.tag = 0, {}, [], 0, 0, tag

    def now_ms(self):
        return self.host.seconds() * 1000

    def pause(self, wait_s):
        woken = Deferred()
        self.host.callLater(wait_s, woken.callback, None)
        return woken

    @inlineCallbacks
    def line(self, edge, fresh):
        idle = self.idle.setdefault(edge, [])
        while idle:
            found = idle.pop()
            if not fresh and not found.lost and not found.close:
                return found
            if not found.lost:
                found.transport.loseConnection()
        found = yield dial(self, edge)
        return found

    @inlineCallbacks
    def once(self, zone, request, fresh=False):
        """One try; the Try, its status 0 without an answer."""
        self.notes.tries.append(request)
        request.sent_ms = self.now_ms()
        fronts = self.fronts(zone)
        kept = [e for e, lines in self.idle.items() if lines]
        edge = self.random.choice(kept if kept and not fresh and self.random.random() < 0.2 else fronts)
        request.edge = edge[0]
        try:
            line = yield self.line(edge, fresh or self.random.random() < 0.4)
        except Exception as fault:
            request.why, request.ended_ms = f"dial {type(fault).__name__}", self.now_ms()
            return request
        timers = [self.host.callLater(request.left_ms / 1000 + 0.05, self.leave, line, request)]
        if self.random.random() < 0.03:
            timers.append(self.host.callLater(self.random.uniform(0, 0.2), self.leave, line, request))
        yield line.start(request)
        for timer in timers:
            if timer.active():
                timer.cancel()
        if request.whole and not line.close and not line.lost:
            self.idle[edge].append(line)
        elif not line.lost:
            line.transport.loseConnection()
        return request

    def leave(self, line, request):
        if line.current is request:
            line.give_up()

    def make(self, path, program, **more):
        self.serial += 1
        kind = KINDS.get(path[: path.find("/", 1) + 1], "unsafe")
        body = more.pop("body", f"b{self.serial};".encode() * self.random.randint(1, 4))
        request = Try(
            f"{self.tag}{self.serial}-{self.random.getrandbits(40):x}",
            kind,
            path,
            body,
            self.random.randint(1500, 4000),
            [],
            program=program,
            **more,
        )
        for name, value in (
            (b"X-Program-Id", program),
            (b"X-Session-Id", program and program + "s"),
            (b"X-Operation-Key", request.key),
            (b"X-Previous-Turn", request.previous),
            (b"X-Token-Budget", request.budget and str(request.budget)),
            (b"X-Token-Count", request.most and f"100,{request.most}"),
            (b"X-Prompt-Prefix", request.most and "aa:60,bb:40"),
            (b"Last-Event-Id", request.last_event),
        ):
            if value:
                request.headers.append((name, value.encode()))
        return request

    @inlineCallbacks
    def tried(self, zone, path, program, tries, **more):
        """Tries of one request; the last of them."""
        request = None
        for number in range(tries):
            request = yield self.once(zone, self.make(path, program, **more), number > 0)
            if request.whole and (200 <= request.status < 300 or request.status in FINAL):
                return request
            unread = request.written_ms < 0
            if not (unread or request.whole and request.status in PROMISES or request.kind in ("safe", "idempotent")):
                return request
            yield self.pause(min(0.6, max(0.02, request.retry_ms / 1000)))
            if request.kind == "idempotent" and self.random.random() < 0.3:
                zone = self.random.choice(self.zones)
        return request

    @inlineCallbacks
    def turn(self, zone, program, budget, previous):
        """-> the Try that ended whole, or None."""
        for _ in range(3):
            request = yield self.tried(zone, "/chat/x", program, 2, previous=previous, budget=budget, most=MOST_TOKENS)
            if request.whole and request.status == 200:
                self.turns.append(request)
                self.notes.tap(request)
                return request
            if request.status in FINAL:
                return None
            yield self.pause(self.random.uniform(0.1, 0.4))
        return None

    @inlineCallbacks
    def tool(self, zone, program):
        path = self.random.choice(("/safe/a?q=1", "/unsafe/b", "/keyed/c", "/keyed/c", "/free/d", "/moved/e"))
        more = {}
        if path.startswith("/keyed"):
            more = {"key": f"k{self.random.getrandbits(40):x}", "body": b"once"}
        if path.startswith("/free"):
            more = {"most": MOST_TOKENS}
        request = yield self.tried(zone, path, program, 3 if "key" in more else 2, **more)
        if "key" in more and self.random.random() < 0.4:
            window_s = (request.sent_ms + self.notes.sheet["window"] - self.now_ms()) / 1000
            yield self.pause(self.random.choice((0.05, 0.5, 2, 5, max(0, window_s - self.random.uniform(0.01, 0.6)))))
            yield self.tried(self.random.choice(self.zones), path, program, 2, **more)
        return request

    @inlineCallbacks
    def lines(self, zone, program, budget, previous, count, depth=0):
        for _ in range(count):
            done = yield self.turn(zone, program, budget, previous)
            if done is None:
                return
            previous = done.try_id
            if self.random.random() < 0.5:
                yield DeferredList([self.tool(zone, program) for _ in range(self.random.randint(1, 2))])
            if depth < 1 and self.random.random() < 0.25:
                yield DeferredList(
                    [
                        self.lines(zone, program, budget, previous, 2, depth + 1)
                        for _ in range(self.random.randint(1, 3))
                    ]
                )

    @inlineCallbacks
    def program(self):
        self.begun += 1
        random, zone = self.random, self.random.choice(self.zones)
        previous, old = "", [t for t in self.turns if self.now_ms() - t.ended_ms < self.notes.sheet["keep"] - 50]
        last = [t for t in old if self.now_ms() - t.ended_ms > self.notes.sheet["keep"] - 700]
        if old and random.random() < 0.25:
            previous = random.choice(last if last and random.random() < 0.5 else old).try_id
        budget = random.choice((1, 3, 20)) * MOST_TOKENS
        yield self.lines(zone, f"{self.tag}{self.begun}", budget, previous, random.randint(1, 4))
        self.ended += 1

    @inlineCallbacks
    def arrive(self, until_ms, gap_ms):
        while self.now_ms() < until_ms:
            self.program()
            if self.random.random() < 0.4:
                self.probe()
            yield self.pause(self.random.expovariate(1) * gap_ms / 1000)

    def probe(self):
        """A request on a route of some version, in force or not."""
        versions = self.notes.versions
        if versions:
            paths = [p for p in self.random.choice(versions[-6:]).paths if p[:2] in ("/v", "/m", "/b")]
            self.once(self.random.choice(self.zones), self.make(self.random.choice(paths) + "p", ""))
