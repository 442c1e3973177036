"""Client connections that carry one request at a time and record whether the response was complete."""

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from .http import InvalidMessageError, Reader, write

CONNECT_S = 1.0


class ClientConnection(Protocol):
    def __init__(self, crowd, edge):
        self.crowd, self.edge, self.current, self.response, self.lost, self.close = (
            crowd,
            edge,
            None,
            None,
            False,
            False,
        )
        self.reader, self.dialled_ms = Reader(self.message_received, self.body_received, answers=True), crowd.now_ms()

    def start(self, request):
        self.current, self.response = request, Deferred()
        request.written_ms, request.dialled_ms = self.crowd.now_ms(), self.dialled_ms
        fields = [
            (b"Host", request.host.encode()),
            (b"X-Attempt-Id", request.try_id.encode()),
            (b"X-Time-Remaining", b"%d" % request.left_ms),
            *request.headers,
            (b"Content-Length", b"%d" % len(request.body)),
        ]
        self.transport.write(write(f"{request.method} {request.uri} HTTP/1.1".encode(), fields, request.body))
        return self.response

    def dataReceived(self, data):
        if self.current is None:
            self.crowd.notes.strays.append(("surplus", self.edge, data[:60]))
            self.lost = True
            return self.transport.abortConnection()
        try:
            self.reader.feed(data)
        except InvalidMessageError as error:
            self.crowd.notes.strays.append(("noise", self.edge, str(error)))
            self.transport.abortConnection()
        return None

    def body_received(self, message, data):
        self.copy_response(message)

    def copy_response(self, message):
        request, fields = self.current, message.fields
        request.status = int(message.start.split(b" ")[1])
        request.seal, request.echo = (fields.get(n, b"").decode() for n in (b"x-server-seal", b"x-attempt-id"))
        request.retry_ms = float(fields.get(b"retry-after", b"0")) * 1000
        request.got = bytes(message.body)

    def message_received(self, message):
        self.copy_response(message)
        self.close = message.fields.get(b"connection") == b"close"
        self.finish(True, "")

    def connectionLost(self, reason):
        self.lost = True
        if self.current is not None:
            message = self.reader.message
            if message is not None:
                self.copy_response(message)
                if self.reader.state == "rest" and reason.type.__name__ == "ConnectionDone":
                    return self.finish(True, "")
            self.finish(False, reason.type.__name__)
        return None

    def give_up(self):
        if self.current is not None and not self.lost:
            self.lost = True
            if self.reader.message is not None:
                self.copy_response(self.reader.message)
            self.finish(False, "gave up")
            self.transport.abortConnection()

    def finish(self, whole, why):
        request, response = self.current, self.response
        self.current = self.response = None
        request.whole, request.why, request.ended_ms = whole, why, self.crowd.now_ms()
        response.callback(request)


def dial(crowd, edge):
    """Connect to the (host, port) of an edge. Returns a Deferred of the ClientConnection."""
    factory = Factory.forProtocol(lambda: ClientConnection(crowd, edge))
    factory.noisy = False
    return TCP4ClientEndpoint(crowd.host, edge[0], edge[1], timeout=CONNECT_S).connect(factory)
