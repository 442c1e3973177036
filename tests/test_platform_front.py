from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from frostpost.cluster.agent_context import AgentContext
from frostpost.daemon.machine import Machine
from frostpost.platform import client_response, front
from frostpost.proxy import failures
from frostpost.proxy.models import ClientBounds, Routing

GET = b"GET /x/1?q=a%20b HTTP/1.1\r\nHost: A.Example:80\r\nX-Attempt-Id: a1\r\n"


class RecordingTransport(StringTransport):
    aborted = write_closed = False

    def abortConnection(self):
        self.aborted = True

    def loseWriteConnection(self):
        self.write_closed = True


class FrontHarness:
    """A front server with one fake connection that records the calls passed to the proxy."""

    def __init__(self, **bounds):
        self.clock, self.calls = Clock(), []
        self.clock.advance(100)
        self.agent = AgentContext(SimpleNamespace(max_fds=1000), self.clock, "a", Machine(seconds=self.clock.seconds))
        self.agent.routing = Routing(1, (), {}, ClientBounds(**bounds))
        self.server = front.make_server(self.agent, lambda agent, call, sink: self.calls.append((call, sink)))
        self.transport, self.channel = RecordingTransport(), self.server.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def send(self, data=GET + b"\r\n"):
        self.channel.dataReceived(data)
        return self.calls[-1] if self.calls else (None, None)

    def take_response(self):
        self.clock.advance(0)
        data = self.transport.value()
        self.transport.clear()
        return data


def test_request_is_parsed_into_a_call():
    harness = FrontHarness()
    call, _ = harness.send(
        b"POST /x/1?q=a%20b HTTP/1.1\r\nHost: A.Example:80\r\nX-Attempt-Id: a1\r\nX-Time-Remaining: 1500\r\n"
        b"X-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c:800,91:410\r\nX-Program-Id: p\r\nX-Session-Id: l\r\n"
        b"X-Program-Deadline: 5200\r\nX-Token-Budget: 4640\r\nX-Previous-Turn: a0\r\nX-Operation-Key: k\r\n"
        b"Last-Event-Id: 12\r\nAccept: a\r\nAccept: b\r\nConnection: keep-alive, odd\r\nOdd: 1\r\nTE: trailers\r\n"
        b"Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 3\r\n\r\na=b"
    )
    assert (call.attempt, call.method, call.uri, call.host, call.body) == (
        "a1",
        b"POST",
        b"/x/1?q=a%20b",
        "a.example",
        b"a=b",
    )
    assert (call.started_ms, call.deadline_ms) == (100000, 101500)
    assert (call.key, call.program, call.session_id, call.budget, call.previous_turn) == ("k", "p", "l", 4640, "a0")
    assert (call.prompt_tokens, call.max_output_tokens, call.prompt_parts) == (1460, 80, (("5c", 800), ("91", 410)))
    assert (call.program_remaining_ms, call.last_event_id) == (5200, "12")
    lower_names = [name.lower() for name, _ in call.headers]
    assert lower_names.count(b"accept") == 2 and b"x-previous-turn" in lower_names and b"x-attempt-id" in lower_names
    assert not {b"host", b"connection", b"odd", b"te", b"content-length"} & set(lower_names)


def test_chunked_body_is_decoded():
    call, _ = FrontHarness().send(
        GET.replace(b"GET", b"POST") + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    )
    assert call.body == b"abc" and b"transfer-encoding" not in [name.lower() for name, _ in call.headers]


@pytest.mark.parametrize(
    "header",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n",
        GET + b"X-Attempt-Id: a2\r\n",
        GET + b"X-Time-Remaining: soon\r\n",
        GET + b"X-Token-Count: a,b\r\n",
        GET + b"X-Token-Budget: 1e999\r\n",
        GET + b"Host: b\r\n",
    ],
)
def test_invalid_header_is_a_bad_request(header):
    harness = FrontHarness()
    harness.send(header + b"\r\n")
    assert (
        harness.calls == []
        and harness.take_response().startswith(b"HTTP/1.1 400 ")
        and harness.agent.open_requests == 0
    )


def test_complete_response_has_a_length_and_only_the_given_headers():
    harness = FrontHarness()
    _, sink = harness.send()
    assert harness.agent.open_requests == 1
    sink.head(200, [(b"X-Odd", b"1"), (b"X-Odd", b"2")])
    sink.data(b"ab")
    sink.data(b"c")
    sink.end()
    assert harness.take_response() == b"HTTP/1.1 200 OK\r\nX-Odd: 1\r\nX-Odd: 2\r\nContent-Length: 3\r\n\r\nabc"
    assert harness.agent.open_requests == 0 and not harness.transport.disconnecting
    assert len(harness.calls) == 1 and harness.send() and len(harness.calls) == 2


def test_stream_is_forwarded_as_chunks():
    harness = FrontHarness()
    _, sink = harness.send()
    sink.head(200, [])
    sink.data(b"ab")
    assert harness.take_response().endswith(b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
    sink.data(b"c")
    assert harness.take_response() == b"1\r\nc\r\n"
    sink.end()
    assert harness.take_response() == b"0\r\n\r\n"


def test_aborted_response_is_incomplete():
    harness = FrontHarness()
    _, sink = harness.send()
    sink.head(200, [(b"Content-Type", b"text/event-stream")])
    sink.data(b"ab")
    sink.abort()
    sink.data(b"c")
    sink.end()
    assert (
        harness.take_response().endswith(b"2\r\nab\r\n") and harness.transport.disconnecting and sink.is_disconnected()
    )
    harness.clock.advance(client_response.ABORT_DELAY_S)
    assert harness.transport.aborted


def test_response_shorter_than_its_length_is_aborted():
    harness = FrontHarness()
    _, sink = harness.send()
    sink.head(200, [(b"Content-Length", b"5")])
    sink.data(b"ab")
    sink.end()
    assert harness.transport.disconnecting and harness.take_response().endswith(b"ab")


@pytest.mark.parametrize(
    "failure,status,retry_after",
    [
        (failures.NoRoute(), 404, None),
        (failures.BadRequest("x"), 400, None),
        (failures.UnknownTurn(), 404, None),
        (failures.BudgetSpent(), 402, None),
        (failures.AtWork(), 409, None),
        (failures.Unavailable(250), 503, b"0.25"),
        (failures.Overloaded(1000), 503, b"1"),
        (failures.Leaving(), 503, b"0.05"),
        (failures.Unknown(), 502, None),
        (failures.TimedOut(), 504, None),
    ],
)
def test_failures_are_mapped_to_statuses(failure, status, retry_after):
    harness = FrontHarness()
    _, sink = harness.send()
    sink.fail(failure)
    response = harness.take_response()
    assert response.startswith(b"HTTP/1.1 %d " % status) and type(failure).__name__.encode() in response
    assert (b"Retry-After: %s\r\n" % retry_after in response) if retry_after else b"Retry-After" not in response
    assert (b"Connection: close" in response) == isinstance(failure, failures.Leaving)


def test_failure_after_the_header_aborts_and_an_exception_is_reported():
    harness = FrontHarness()
    _, sink = harness.send()
    sink.head(200, [(b"Content-Type", b"text/event-stream")])
    sink.fail(failures.Unknown())
    assert harness.transport.disconnecting and not harness.take_response().endswith(b"0\r\n\r\n")
    other_harness = FrontHarness()
    other_harness.server.handle = front.make_handler(other_harness.agent, lambda *_: 1 / 0)
    other_harness.send()
    assert other_harness.take_response().startswith(b"HTTP/1.1 502 ") and other_harness.agent.open_requests == 0


def test_draining_daemon_closes_connections_after_the_response():
    harness = FrontHarness()
    _, sink = harness.send()
    harness.agent.draining = True
    sink.head(200, [])
    sink.end()
    assert b"Connection: close\r\n" in harness.take_response() and harness.transport.disconnecting


def test_disconnect_and_backpressure_are_reported():
    harness, events = FrontHarness(), []
    _, sink = harness.send()
    sink.on_disconnect(lambda: events.append("gone"))
    sink.on_pause(lambda: events.append("pause"))
    sink.on_resume(lambda: events.append("resume"))
    harness.channel.pauseProducing()
    harness.channel.resumeProducing()
    harness.channel.connectionLost(SimpleNamespace(value=None))
    assert events == ["pause", "resume", "gone"] and sink.is_disconnected() and harness.agent.open_requests == 0
    sink.head(200, [])
    sink.data(b"x")
    sink.end()
    sink.fail(failures.Unknown())


@pytest.mark.parametrize(
    "data,status",
    [
        (GET + b"X-Long: " + b"a" * 600 + b"\r\n", 431),
        (b"GET /" + b"a" * 600, 431),
        (GET + b"Content-Length: 9\r\n\r\n", 413),
        (GET + b"Transfer-Encoding: chunked\r\n\r\n9\r\nabcdefghi\r\n", 413),
        (GET + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"odd\r\n", 400),
    ],
)
def test_requests_beyond_the_bounds_are_rejected(data, status):
    harness = FrontHarness(header_bytes=500, body_bytes=8)
    harness.send(data)
    harness.send(b"0\r\n\r\n" + GET + b"\r\n")
    response = harness.take_response()
    assert response.startswith(b"HTTP/1.1 %d " % status) and response.count(b"HTTP/1.1") == 1
    assert harness.calls == [] and harness.transport.write_closed
    harness.clock.advance(5)
    assert harness.transport.aborted


def test_slow_clients_time_out():
    harness = FrontHarness(header_ms=1000, idle_ms=3000)
    for _ in range(3):
        harness.channel.dataReceived(b"GET")
        harness.clock.advance(0.5)
    assert harness.take_response().startswith(b"HTTP/1.1 408 ")
    slow_body = FrontHarness(header_ms=1000, idle_ms=3000)
    slow_body.send(GET + b"Content-Length: 9\r\n\r\nab")
    slow_body.clock.advance(3.1)
    assert slow_body.take_response().startswith(b"HTTP/1.1 408 ") and slow_body.calls == []
    idle_connection = FrontHarness(header_ms=1000, idle_ms=3000)
    idle_connection.clock.advance(3.1)
    assert idle_connection.take_response() == b"" and idle_connection.transport.disconnecting


def test_pipelined_requests_are_served_in_order():
    harness = FrontHarness()
    harness.send((GET + b"\r\n") * 2)
    assert len(harness.calls) == 1
    harness.calls[0][1].fail(failures.NoRoute())
    assert len(harness.calls) == 2
    harness.server.close_idle()
    assert not harness.transport.disconnecting
    harness.calls[1][1].fail(failures.NoRoute())
    harness.server.close_idle()
    assert harness.transport.disconnecting
