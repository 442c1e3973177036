"""One request to one runner and what was heard of its answer."""

from frostpost.cluster.context import now_ms

from .outcomes import Broken, NotRun, NotSent, Whole

HOP = frozenset(
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"connection",
        b"keep-alive",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-connection",
        b"expect",
    )
)
PROMISES = (408, 429, 503)
WITH_BODY = (b"POST", b"PUT", b"PATCH")


class Exchange:
    """listener: head(RunnerHead), data(bytes), done(outcome); done comes once and last, unless stopped."""

    __slots__ = ("leaf", "runner", "call", "body", "until_ms", "listener", "connection", "over", "written", "head")

    def __init__(self, leaf, runner, call, body, until_ms, listener):
        self.leaf, self.runner, self.call, self.body = leaf, runner, call, body
        self.until_ms, self.listener = until_ms, listener
        self.connection, self.over, self.written, self.head = None, False, False, None

    def stop(self):
        """End it without a word to the listener; True if bytes of the request were written."""
        if not self.over:
            self.over = True
            if self.connection is not None:
                self.connection.drop()
        return self.written

    def pause(self):
        if not self.over and self.connection is not None:
            self.connection.pause()

    def resume(self):
        if not self.over and self.connection is not None:
            self.connection.resume()

    def write_to(self, connection):
        """Write the request."""
        left_ms = self.until_ms - now_ms(self.leaf)
        data = request_bytes(self.leaf.wire, self.runner, self.call, self.body, left_ms)
        self.connection, self.written = connection, True
        connection.start(self, data, self.call.method == b"HEAD")

    def not_sent(self, why):
        self._done(NotSent(why))

    def heard_head(self, status, fields):
        head = self.head = self.leaf.wire.read_head(status, fields)
        connection = self.connection
        connection.close = connection.close or head.close
        if head.keep_ms > 0:
            connection.keep_ms = head.keep_ms
        why = doubt(head, self.call, connection.exchanges == 1)
        if why:
            return self._drop(Broken(why))
        if head.not_run or status == 421:
            connection.detach()
            return self._done(NotRun(status))
        self.listener.head(head)

    def heard_data(self, data):
        if not self.over:
            self.listener.data(data)

    def heard_whole(self):
        self._done(Whole())

    def heard_broken(self, why):
        self._done(Broken(why))

    def _drop(self, outcome):
        self.connection.drop()
        self._done(outcome)

    def _done(self, outcome):
        if not self.over:
            self.over = True
            self.listener.done(outcome)


def doubt(head, call, first):
    """Why this head isn't that of the call's own run, or empty."""
    refused = head.not_run or head.status == 421
    if head.attempt != call.attempt and not (refused and first and not head.attempt):
        return "attempt"
    if any(n.lower() == b"content-encoding" and v.strip().lower() != b"identity" for n, v in head.headers):
        return "encoding"
    if 200 <= head.status < 300 and not head.sealed and not head.not_run:
        return "unsealed"
    if head.status in PROMISES and not head.not_run:
        return "promise"
    return ""


def request_bytes(wire, runner, call, body, left_ms):
    lines = [call.method + b" " + call.uri + b" HTTP/1.1", b"Host: " + call.host.encode("latin-1")]
    for name, value in wire.request_headers(call, runner, left_ms):
        if name.lower() not in HOP:
            lines.append(name + b": " + value)
    if body or call.method in WITH_BODY:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
