"""Operators: they change the configuration, sometimes two at once, and ask for storage machines to be emptied."""

from random import Random

from msgspec import json
from twisted.internet.defer import Deferred, inlineCallbacks

from .dial import dial
from .notes import ControlCall, Try, Version
from .routes import broken_change, change_of, first_document, paths_of

SILENCE_S = 1.0


class Operator:
    """controls() -> (host, port) pairs of daemons as the operator's list shows them. lost: share of answers that
    never arrive."""

    def __init__(self, host, notes, random, controls, tag):
        self.host, self.notes, self.random, self.controls, self.tag = host, notes, random, controls, tag
        self.serial, self.lost, self.loss_random = 0, 0.0, Random(f"lost {tag}")

    def now_ms(self):
        return self.host.seconds() * 1000

    def pause(self, wait_s):
        woken = Deferred()
        self.host.callLater(wait_s, woken.callback, None)
        return woken

    @inlineCallbacks
    def call(self, control, method, path, document=None, version=None):
        """The answer of one daemon as a Try; status 0 where there was none. version: the change that it carries."""
        self.serial += 1
        call = ControlCall(path, control[0], self.now_ms(), version)
        self.notes.control_calls.append(call)
        request = yield self.send(control, method, path, document, version)
        if request.status and self.loss_random.random() < self.lost:
            request.status = 0
        if request.status:
            call.status, call.retry_ms, call.ended_ms = request.status, request.retry_ms, self.now_ms()
        if request.status == 200 and path == "Configuration.Query":
            call.document = json.decode(request.got)
        return request

    @inlineCallbacks
    def send(self, control, method, path, document, version):
        """Send a call and wait for its answer, for as long as an operator does."""
        headers = [(b"Content-Type", b"application/json")]
        if version is not None:
            headers.append((b"X-Base-Revision", b"%d" % version.base))
        body = b"" if document is None else json.encode(document)
        request = Try(f"{self.tag}{self.serial}", "control", f"/frostpost/{path}", body, 1000, headers, method=method)
        request.sent_ms, request.edge = self.now_ms(), control[0]
        try:
            line = yield dial(self, control)
        except Exception:
            return request
        timer = self.host.callLater(SILENCE_S, line.give_up)
        answer = line.start(request)
        yield answer
        if timer.active():
            timer.cancel()
        if not line.lost:
            line.transport.loseConnection()
        if not request.whole:
            request.status = 0
        return request

    @inlineCallbacks
    def insist(self, method, path, document=None, version=None, until_ms=1e12, on_sent=None):
        """Call one daemon after another until one answers clearly; the answer, or the last one."""
        pause_s, request = 0.1, None
        controls = list(self.controls())
        self.random.shuffle(controls)
        at = 0
        while self.now_ms() < until_ms:
            if not controls:
                controls = list(self.controls())
            if controls:
                request = yield self.call(controls[at % len(controls)], method, path, document, version)
                at += 1
                if request.status and request.status < 500 and request.status not in (408, 429):
                    return request
                if on_sent is not None:
                    on_sent()
            yield self.pause(pause_s)
            pause_s = min(1.0, pause_s * 1.6)
        return request

    @inlineCallbacks
    def change(self, version, kind, change, until_ms):
        self.notes.add_version(version)

        def unclear():
            version.unclear += 1

        answer = yield self.insist("POST", f"Configuration.{kind}", change, version, until_ms, unclear)
        status = answer.status if answer is not None else 0
        if status == 200:
            version.acked_ms = self.now_ms() if version.acked_ms < 0 else version.acked_ms
            self.notes.acknowledged(answer.edge)
        elif 400 <= status < 500:
            version.no = status
        return status

    @inlineCallbacks
    def found(self):
        """The first configuration, sent until it is taken."""
        document = first_document()
        version = Version(3, 0, paths_of(document), document, self.now_ms())
        status = yield self.change(version, "Replace", document, 1e12)
        return status

    @inlineCallbacks
    def read(self, until_ms=1e12):
        answer = yield self.insist("GET", "Configuration.Query", until_ms=until_ms)
        if answer is None or answer.status != 200:
            return None
        return json.decode(answer.got)

    @inlineCallbacks
    def modify(self, until_ms):
        """Read the newest configuration and change it."""
        document = yield self.read(until_ms)
        if document is None:
            return 0
        issue = document["issue"] + self.random.randint(1, 5)
        if self.random.random() < 0.2:
            version = Version(issue, document["issue"], {"/bad/": ("tools",)}, {}, self.now_ms(), valid=False)
            status = yield self.change(version, "Modify", broken_change(self.random, issue), until_ms)
            return status
        change, after = change_of(document, issue, self.random, self.tag)
        version = Version(issue, document["issue"], paths_of(after), after, self.now_ms())
        kind = self.random.choice(("Modify", "Modify", "Replace"))
        status = yield self.change(version, kind, change if kind == "Modify" else after, until_ms)
        return status

    @inlineCallbacks
    def retire(self, name, until_ms):
        """-> whether the daemon came to be emptied."""
        answer = yield self.insist("POST", f"Retire.Initiate/{name}", {"deadline-s": 10}, until_ms=until_ms)
        if answer is None or answer.status != 200:
            return False
        while self.now_ms() < until_ms:
            answer = yield self.insist("GET", f"Retire.Query/{name}", until_ms=until_ms)
            if answer is not None and answer.status == 200 and json.decode(answer.got)["state"] == "completed":
                return True
            yield self.pause(0.3)
        return False
