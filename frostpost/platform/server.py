"""HTTP/1.1 server with bounds on connections, sizes and times, used for the front, readiness and control addresses."""

from socket import IPPROTO_TCP, TCP_USER_TIMEOUT

from twisted.protocols.basic import LineReceiver
from twisted.web.http import RESPONSES, HTTPChannel, HTTPFactory, Request

LINGER_S, BODY_IDLE_PERIODS, PEER_TIMEOUT_MS = 2, 4, 10000
MAX_LENGTH_DIGITS = 18


def close_after_response(request):
    """Close the connection after the response to this request."""
    request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
    request.channel.persistent = False


def reply(request, status, body=b"", headers=(), close=False):
    """Send a complete response with a Content-Length."""
    if request.disconnected:
        return
    request.setResponseCode(status)
    for name, value in headers:
        request.responseHeaders.addRawHeader(name, value)
    request.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
    if close:
        close_after_response(request)
    request.write(body)
    request.finish()


class BufferedRequest(Request):
    """A request that is passed to the server's `handle` once its body is complete.

    `on_finished(disconnected)` is called once, when the response is complete or the client has disconnected.
    """

    on_finished, disconnected, received_bytes, body, started_s = None, False, 0, b"", 0.0

    def parseCookies(self):
        """Don't parse cookies; they are forwarded unchanged."""

    def gotLength(self, length):
        """Reject a request whose Content-Length is too large."""
        self.chunks, self.started_s = [], self.channel.factory.reactor.seconds()
        if length is not None and length > self.channel.bounds.body_bytes:
            self.channel.reject(413)

    def handleContentChunk(self, data):
        """Buffer the body up to its maximum size."""
        self.received_bytes += len(data)
        if self.received_bytes <= self.channel.bounds.body_bytes:
            self.chunks.append(data)
        else:
            self.chunks.clear()
            self.channel.reject(413)

    def requestReceived(self, command, path, version):
        """Pass the complete request to the server's handler."""
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.body, self.chunks = b"".join(self.chunks), []
        self.channel.factory.handle(self)

    def finish(self):
        """Finish the response."""
        self.notify_finished(False)
        super().finish()

    def connectionLost(self, reason):
        """Handle the client's disconnection."""
        self.disconnected = True
        super().connectionLost(reason)
        self.notify_finished(True)

    def notify_finished(self, disconnected):
        """Call `on_finished` unless it has been called."""
        on_finished, self.on_finished = self.on_finished, None
        if on_finished is not None:
            on_finished(disconnected)


class BoundedChannel(HTTPChannel):
    """A client connection with bounds on the size of headers and bodies and on time; see `ClientBounds`."""

    requestFactory = BufferedRequest
    rejected = reading_request = reading_header = False
    bounds, body_deadline_s = None, 0.0

    def connectionMade(self):
        """Set timeouts, and abort the connection if there are too many."""
        self.update_bounds()
        self.timeOut = self.bounds.idle_ms / 1000
        super().connectionMade()
        get_handle = getattr(self.transport, "getHandle", None)
        if get_handle is not None:
            get_handle().setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, PEER_TIMEOUT_MS)
        self.factory.channels.add(self)
        if len(self.factory.channels) > self.factory.max_connections:
            self.transport.abortConnection()

    def connectionLost(self, reason):
        """Remove the connection from the server's set."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def update_bounds(self):
        """Apply the current bounds to the next request."""
        self.bounds = self.factory.bounds()
        self.totalHeadersSize = self.MAX_LENGTH = self.bounds.header_bytes

    def start_request(self):
        """Start the header timeout at the first byte of a request."""
        self.reading_request = self.reading_header = True
        self.update_bounds()
        self.setTimeout(self.bounds.header_ms / 1000)

    def dataReceived(self, data):
        """Process received data, rejecting a body that takes too long."""
        if self.rejected:
            return None
        if not self._handlingRequest:
            if not self.reading_request:
                self.start_request()
            elif not self.reading_header:
                self.resetTimeout()
                if self.factory.reactor.seconds() > self.body_deadline_s:
                    return self.reject(408)
        return LineReceiver.dataReceived(self, data)

    def lineReceived(self, line):
        """Process a line of the header; a pipelined request starts here."""
        if not self.reading_request:
            self.start_request()
        return super().lineReceived(line)

    def headerReceived(self, line):
        """Process a header field, rejecting ambiguous body framing."""
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        if name == b"transfer-encoding" and value.lower() != b"chunked":
            self.reject(400)
            return False
        if name == b"content-length" and len(value) > MAX_LENGTH_DIGITS:
            self.reject(413 if value.isdigit() else 400)
            return False
        return super().headerReceived(line)

    def allHeadersReceived(self):
        """Set the timeout for the body."""
        self.reading_header, idle_s = False, self.bounds.idle_ms / 1000
        if self.length == 0:
            self.timeOut = idle_s
        else:
            self.setTimeout(idle_s)
            self.body_deadline_s = self.factory.reactor.seconds() + BODY_IDLE_PERIODS * idle_s
        super().allHeadersReceived()

    def allContentReceived(self):
        """Finish reading the request; the next one starts with the bounds that are current then."""
        if not self.rejected:
            self.reading_request = False
            super().allContentReceived()

    def lineLengthExceeded(self, line):
        """Reject a line that is too long."""
        self.reject(431)

    def _send100Continue(self):
        if not self.rejected:
            super()._send100Continue()

    def _respondToBadRequestAndDisconnect(self):
        too_large = self._receivedHeaderSize > self.totalHeadersSize or self._receivedHeaderCount > self.maxHeaders
        self.reject(431 if too_large else 400)

    def reject(self, status):
        """Reject the request with a status and close the connection.

        Received data is ignored for LINGER_S, so that the client can read the response before a reset.
        """
        if self.rejected:
            return
        self.rejected, self.persistent = True, False
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            % (status, RESPONSES.get(status, b"Unknown Status"))
        )
        self.lineReceived = self.rawDataReceived = lambda data: None
        self.setTimeout(LINGER_S)
        self.transport.loseWriteConnection()

    def timeoutConnection(self):
        """Reject a header or body that takes too long; close an idle connection."""
        if self.rejected:
            self.transport.abortConnection()
        elif self.reading_request:
            self.reject(408)
        else:
            super().timeoutConnection()


class Server(HTTPFactory):
    """Factory of bounded connections; `handle` is called with each complete request."""

    protocol, noisy = BoundedChannel, False

    def __init__(self, reactor, handle, bounds, max_connections=1000):
        super().__init__(timeout=None, reactor=reactor)
        self.handle, self.bounds, self.max_connections, self.channels = handle, bounds, max_connections, set()

    def startFactory(self):
        """Don't open an access log."""

    def stopFactory(self):
        """Don't close an access log, as none is open."""

    def log(self, request):
        """Don't log requests."""

    def close_idle(self):
        """Close the connections without a request in progress."""
        for channel in list(self.channels):
            if not (channel.reading_request or channel._handlingRequest or channel.rejected):
                channel.loseConnection()
