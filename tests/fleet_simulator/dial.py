"""Clients' connections: one request at a time, and whether its answer came whole."""

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from .http import NoMessageError, Reader, write

CONNECT_S = 1.0


class Dial(Protocol):
    def __init__(self, crowd, edge):
        self.crowd, self.edge, self.current, self.answered, self.lost, self.close = (
            crowd,
            edge,
            None,
            None,
            False,
            False,
        )
        self.reader, self.dialled_ms = Reader(self.ended, self.came, answers=True), crowd.now_ms()

    def start(self, request):
        self.current, self.answered = request, Deferred()
        request.written_ms, request.dialled_ms = self.crowd.now_ms(), self.dialled_ms
        fields = [
            (b"Host", request.host.encode()),
            (b"X-Attempt-Id", request.try_id.encode()),
            (b"X-Time-Remaining", b"%d" % request.left_ms),
            *request.headers,
            (b"Content-Length", b"%d" % len(request.body)),
        ]
        self.transport.write(write(f"{request.method} {request.uri} HTTP/1.1".encode(), fields, request.body))
        return self.answered

    def dataReceived(self, data):
        if self.current is None:
            self.crowd.notes.strays.append(("surplus", self.edge, data[:60]))
            self.lost = True
            return self.transport.abortConnection()
        try:
            self.reader.feed(data)
        except NoMessageError as fault:
            self.crowd.notes.strays.append(("noise", self.edge, str(fault)))
            self.transport.abortConnection()
        return None

    def came(self, message, data):
        self.take(message)

    def take(self, message):
        request, fields = self.current, message.fields
        request.status = int(message.start.split(b" ")[1])
        request.seal, request.echo = (fields.get(n, b"").decode() for n in (b"x-server-seal", b"x-attempt-id"))
        request.retry_ms = float(fields.get(b"retry-after", b"0")) * 1000
        request.got = bytes(message.body)

    def ended(self, message):
        self.take(message)
        self.close = message.fields.get(b"connection") == b"close"
        self.over(True, "")

    def connectionLost(self, reason):
        self.lost = True
        if self.current is not None:
            message = self.reader.message
            if message is not None:
                self.take(message)
                if self.reader.state == "rest" and reason.type.__name__ == "ConnectionDone":
                    return self.over(True, "")
            self.over(False, reason.type.__name__)
        return None

    def give_up(self):
        if self.current is not None and not self.lost:
            self.lost = True
            if self.reader.message is not None:
                self.take(self.reader.message)
            self.over(False, "gave up")
            self.transport.abortConnection()

    def over(self, whole, why):
        request, answered = self.current, self.answered
        self.current = self.answered = None
        request.whole, request.why, request.ended_ms = whole, why, self.crowd.now_ms()
        answered.callback(request)


def dial(crowd, edge):
    """Deferred[Dial] to an edge's (host, port)."""
    factory = Factory.forProtocol(lambda: Dial(crowd, edge))
    factory.noisy = False
    return TCP4ClientEndpoint(crowd.host, edge[0], edge[1], timeout=CONNECT_S).connect(factory)
