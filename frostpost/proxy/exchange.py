"""One HTTP request to one runner: feeds connection events to the state machine in `exchange_state`."""

from frostpost.cluster.agent_context import now_ms

from .exchange_state import (
    BodyEnded,
    ConnectionFailed,
    DataRead,
    DrainConnection,
    DropConnection,
    Ended,
    Finish,
    GivenUp,
    HeadRead,
    NotWritten,
    PassData,
    PassHead,
    Queued,
    Wrote,
    may_have_run,
    step,
)

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
QUEUED, GIVEN_UP, BODY_ENDED = Queued(), GivenUp(), BodyEnded()
WITH_BODY = (b"POST", b"PUT", b"PATCH")


class Exchange:
    """Drives the state machine of one request and executes its actions on the connection and the listener.

    listener: head(RunnerHead), data(bytes), done(outcome). done() is called exactly once and last, unless the exchange
    is stopped.
    """

    __slots__ = ("body", "call", "connection", "head", "agent", "listener", "runner", "state", "until_ms")

    def __init__(self, agent, runner, call, body, until_ms, listener):
        self.agent, self.runner, self.call, self.body = agent, runner, call, body
        self.until_ms, self.listener = until_ms, listener
        self.connection, self.head, self.state = None, None, QUEUED

    @property
    def over(self):
        """Whether the exchange has ended."""
        return isinstance(self.state, Ended)

    def stop(self):
        """Cancel the exchange without notifying the listener.

        Returns True if the runner may have started to execute the request.
        """
        self.feed(GIVEN_UP)
        return may_have_run(self.state)

    def pause(self):
        """Stop reading the response."""
        if not self.over and self.connection is not None:
            self.connection.pause()

    def resume(self):
        """Resume reading the response."""
        if not self.over and self.connection is not None:
            self.connection.resume()

    def write_to(self, connection):
        """Write the request to a connection."""
        left_ms = self.until_ms - now_ms(self.agent)
        data = request_bytes(self.agent.wire, self.runner, self.call, self.body, left_ms)
        self.connection = connection
        self.feed(Wrote(connection.exchanges == 0))
        connection.start(self, data, self.call.method == b"HEAD")

    def not_sent(self, why):
        """End the exchange without having written the request."""
        self.feed(NotWritten(why))

    def heard_head(self, status, fields):
        """Handle a response head."""
        head = self.head = self.agent.wire.read_head(status, fields)
        self.connection.learn(head)
        self.feed(HeadRead(head))

    def heard_data(self, data):
        """Handle a piece of the response body."""
        self.feed(DataRead(data))

    def heard_whole(self):
        """Handle the end of the response body."""
        self.feed(BODY_ENDED)

    def heard_broken(self, why):
        """Handle the loss of the connection or a malformed response."""
        self.feed(ConnectionFailed(why))

    def feed(self, heard):
        """Advance the state machine by one event and execute its actions."""
        self.state, actions = step(self.call, self.state, heard)
        for action in actions:
            match action:
                case PassHead(head):
                    self.listener.head(head)
                case PassData(data):
                    self.listener.data(data)
                case DropConnection():
                    self.connection.drop()
                case DrainConnection():
                    self.connection.detach()
                case Finish(outcome):
                    self.listener.done(outcome)


def request_bytes(wire, runner, call, body, left_ms):
    """Serialize a request to a runner."""
    lines = [call.method + b" " + call.uri + b" HTTP/1.1", b"Host: " + call.host.encode("latin-1")]
    for name, value in wire.request_headers(call, runner, left_ms):
        if name.lower() not in HOP:
            lines.append(name + b": " + value)
    if body or call.method in WITH_BODY:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
