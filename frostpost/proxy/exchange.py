"""One HTTP request to one runner: feeds connection events to the state machine in `exchange_state`."""

from frostpost.cluster.agent_context import now_ms

from .exchange_state import (
    AbortConnection,
    BodyEnded,
    Cancelled,
    ConnectionFailed,
    DataRead,
    DrainConnection,
    Ended,
    Finish,
    ForwardData,
    ForwardHead,
    HeadRead,
    NotWritten,
    Queued,
    Written,
    may_have_run,
    step,
)

HOP_BY_HOP_HEADERS = frozenset(
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
QUEUED, CANCELLED, BODY_ENDED = Queued(), Cancelled(), BodyEnded()
METHODS_WITH_BODY = (b"POST", b"PUT", b"PATCH")


class Exchange:
    """Drives the state machine of one request and executes its actions on the connection and the listener.

    listener: head(RunnerHead), data(bytes), done(outcome). done() is called exactly once and last, unless the exchange
    is stopped.
    """

    __slots__ = ("body", "call", "connection", "head", "agent", "listener", "runner", "state", "until_ms", "written_ms")

    def __init__(self, agent, runner, call, body, until_ms, listener):
        self.agent, self.runner, self.call, self.body = agent, runner, call, body
        self.until_ms, self.listener = until_ms, listener
        self.connection, self.head, self.state, self.written_ms = None, None, QUEUED, 0

    @property
    def has_ended(self):
        """Whether the exchange has ended."""
        return isinstance(self.state, Ended)

    def stop(self):
        """Cancel the exchange without notifying the listener.

        Returns True if the runner may have started to execute the request.
        """
        self.handle_event(CANCELLED)
        return may_have_run(self.state)

    def pause(self):
        """Stop reading the response."""
        if not self.has_ended and self.connection is not None:
            self.connection.pause()

    def resume(self):
        """Resume reading the response."""
        if not self.has_ended and self.connection is not None:
            self.connection.resume()

    def write_to(self, connection):
        """Write the request to a connection."""
        self.written_ms = now_ms(self.agent)
        remaining_ms = self.until_ms - self.written_ms
        data = request_bytes(self.agent.wire, self.runner, self.call, self.body, remaining_ms)
        self.connection = connection
        self.handle_event(Written(connection.exchange_count == 0))
        connection.start(self, data, self.call.method == b"HEAD")

    def fail_unsent(self, reason):
        """End the exchange without having written the request."""
        self.handle_event(NotWritten(reason))

    def on_head(self, status, fields):
        """Handle a response head."""
        head = self.head = self.agent.wire.read_head(status, fields)
        self.connection.apply_head(head)
        self.handle_event(HeadRead(head))

    def on_data(self, data):
        """Handle a piece of the response body."""
        self.handle_event(DataRead(data))

    def on_body_end(self):
        """Handle the end of the response body."""
        self.handle_event(BODY_ENDED)

    def on_failure(self, reason):
        """Handle the loss of the connection or a malformed response."""
        self.handle_event(ConnectionFailed(reason))

    def handle_event(self, event):
        """Advance the state machine by one event and execute its actions."""
        self.state, actions = step(self.call, self.state, event)
        for action in actions:
            match action:
                case ForwardHead(head):
                    self.listener.head(head)
                case ForwardData(data):
                    self.listener.data(data)
                case AbortConnection():
                    self.connection.abort()
                case DrainConnection():
                    self.connection.drain()
                case Finish(outcome):
                    self.listener.done(outcome)


def request_bytes(wire, runner, call, body, remaining_ms):
    """Serialize a request to a runner."""
    lines = [call.method + b" " + call.uri + b" HTTP/1.1", b"Host: " + call.host.encode("latin-1")]
    for name, value in wire.request_headers(call, runner, remaining_ms):
        if name.lower() not in HOP_BY_HOP_HEADERS:
            lines.append(name + b": " + value)
    if body or call.method in METHODS_WITH_BODY:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
