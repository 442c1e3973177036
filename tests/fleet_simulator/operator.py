"""Simulated operators that read and change the configuration and retire storage daemons."""

from random import Random

from msgspec import json
from twisted.internet.defer import Deferred, inlineCallbacks

from .dial import dial
from .notes import ControlCall, Try, Version
from .routes import broken_change, change_of, first_document, paths_of

RESPONSE_TIMEOUT_S = 1.0


class Operator:
    """Client of the control API.

    controls: callable that returns the (host, port) pairs of the control daemons; lost: fraction of lost responses.
    """

    def __init__(self, host, notes, random, controls, tag):
        self.host, self.notes, self.random, self.controls, self.tag = host, notes, random, controls, tag
        self.serial, self.lost, self.loss_random = 0, 0.0, Random(f"lost {tag}")

    def now_ms(self):
        return self.host.seconds() * 1000

    def pause(self, wait_s):
        elapsed = Deferred()
        self.host.callLater(wait_s, elapsed.callback, None)
        return elapsed

    @inlineCallbacks
    def call(self, control, method, path, document=None, version=None):
        """Call one daemon and record the call. Returns a `Try`, with status 0 if there was no response."""
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
        """Send a request and wait up to `RESPONSE_TIMEOUT_S` for its response."""
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
        timer = self.host.callLater(RESPONSE_TIMEOUT_S, line.give_up)
        response = line.start(request)
        yield response
        if timer.active():
            timer.cancel()
        if not line.lost:
            line.transport.loseConnection()
        if not request.whole:
            request.status = 0
        return request

    @inlineCallbacks
    def call_until_conclusive(self, method, path, document=None, version=None, until_ms=1e12, on_inconclusive=None):
        """Call one daemon after another until a response is conclusive. Returns the last response."""
        pause_s, request = 0.1, None
        controls = list(self.controls())
        self.random.shuffle(controls)
        index = 0
        while self.now_ms() < until_ms:
            if not controls:
                controls = list(self.controls())
            if controls:
                request = yield self.call(controls[index % len(controls)], method, path, document, version)
                index += 1
                if request.status and request.status < 500 and request.status not in (408, 429):
                    return request
                if on_inconclusive is not None:
                    on_inconclusive()
            yield self.pause(pause_s)
            pause_s = min(1.0, pause_s * 1.6)
        return request

    @inlineCallbacks
    def change(self, version, kind, change, until_ms):
        """Send a change until a response is conclusive. Returns its status, 0 if there was none."""
        self.notes.add_version(version)

        def count_inconclusive():
            version.unclear += 1

        response = yield self.call_until_conclusive(
            "POST", f"Configuration.{kind}", change, version, until_ms, count_inconclusive
        )
        status = response.status if response is not None else 0
        if status == 200:
            version.acked_ms = self.now_ms() if version.acked_ms < 0 else version.acked_ms
            self.notes.acknowledged(response.edge)
        elif 400 <= status < 500:
            version.no = status
        return status

    @inlineCallbacks
    def found(self, document=None):
        """Send the first configuration until it is accepted."""
        document = document or first_document()
        version = Version(3, 0, paths_of(document), document, self.now_ms())
        status = yield self.change(version, "Replace", document, 1e12)
        return status

    @inlineCallbacks
    def read(self, until_ms=1e12):
        """Returns the current configuration, or None."""
        response = yield self.call_until_conclusive("GET", "Configuration.Query", until_ms=until_ms)
        if response is None or response.status != 200:
            return None
        return json.decode(response.got)

    @inlineCallbacks
    def modify(self, until_ms):
        """Read the current configuration and send a random change of it; some changes are invalid."""
        document = yield self.read(until_ms)
        if document is None:
            return 0
        issue = document["issue"] + self.random.randint(1, 5)
        if self.random.random() < 0.2:
            version = Version(issue, document["issue"], {"/bad/": ("tools",)}, {}, self.now_ms(), valid=False)
            status = yield self.change(version, "Modify", broken_change(self.random, issue), until_ms)
            return status
        change, changed_document = change_of(document, issue, self.random, self.tag)
        version = Version(issue, document["issue"], paths_of(changed_document), changed_document, self.now_ms())
        kind = self.random.choice(("Modify", "Modify", "Replace"))
        status = yield self.change(version, kind, change if kind == "Modify" else changed_document, until_ms)
        return status

    @inlineCallbacks
    def retire(self, name, until_ms):
        """Retire a storage daemon. Returns whether the retirement completed."""
        response = yield self.call_until_conclusive(
            "POST", f"Retire.Initiate/{name}", {"deadline-s": 10}, until_ms=until_ms
        )
        if response is None or response.status != 200:
            return False
        while self.now_ms() < until_ms:
            response = yield self.call_until_conclusive("GET", f"Retire.Query/{name}", until_ms=until_ms)
            if response is not None and response.status == 200 and json.decode(response.got)["state"] == "completed":
                return True
            yield self.pause(0.3)
        return False
