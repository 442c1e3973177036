from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from frostpost.cluster.agent_context import AgentContext
from frostpost.daemon.machine import Machine
from frostpost.platform import front
from frostpost.proxy import failures
from frostpost.proxy.models import ClientBounds, Routing

GET = b"GET /x/1?q=a%20b HTTP/1.1\r\nHost: A.Example:80\r\nX-Attempt-Id: a1\r\n"


class Wire(StringTransport):
    aborted = ended = False

    def abortConnection(self):
        self.aborted = True

    def loseWriteConnection(self):
        self.ended = True


class Fleet:
    """A front over one fake connection, with a serve that keeps what it is handed."""

    def __init__(self, **bounds):
        self.clock, self.calls = Clock(), []
        self.clock.advance(100)
        self.agent = AgentContext(SimpleNamespace(max_fds=1000), self.clock, "a", Machine(seconds=self.clock.seconds))
        self.agent.routing = Routing(1, (), {}, ClientBounds(**bounds))
        self.server = front.make_server(self.agent, lambda agent, call, sink: self.calls.append((call, sink)))
        self.transport, self.channel = Wire(), self.server.buildProtocol(None)
        self.channel.makeConnection(self.transport)

    def ask(self, data=GET + b"\r\n"):
        self.channel.dataReceived(data)
        return self.calls[-1] if self.calls else (None, None)

    def said(self):
        self.clock.advance(0)
        value = self.transport.value()
        self.transport.clear()
        return value


def test_a_request_becomes_a_call():
    fleet = Fleet()
    call, _ = fleet.ask(
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
    low = [name.lower() for name, _ in call.headers]
    assert low.count(b"accept") == 2 and b"x-previous-turn" in low and b"x-attempt-id" in low
    assert not {b"host", b"connection", b"odd", b"te", b"content-length"} & set(low)


def test_a_chunked_body_is_put_together():
    call, _ = Fleet().ask(
        GET.replace(b"GET", b"POST") + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    )
    assert call.body == b"abc" and b"transfer-encoding" not in [n.lower() for n, _ in call.headers]


@pytest.mark.parametrize(
    "head",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n",
        GET + b"X-Attempt-Id: a2\r\n",
        GET + b"X-Time-Remaining: soon\r\n",
        GET + b"X-Token-Count: a,b\r\n",
        GET + b"X-Token-Budget: 1e999\r\n",
        GET + b"Host: b\r\n",
    ],
)
def test_what_cannot_be_read_is_a_bad_request(head):
    fleet = Fleet()
    fleet.ask(head + b"\r\n")
    assert fleet.calls == [] and fleet.said().startswith(b"HTTP/1.1 400 ") and fleet.agent.open_requests == 0


def test_a_whole_answer_has_a_length_and_only_the_headers_given():
    fleet = Fleet()
    _, sink = fleet.ask()
    assert fleet.agent.open_requests == 1
    sink.head(200, [(b"X-Odd", b"1"), (b"X-Odd", b"2")])
    sink.data(b"ab")
    sink.data(b"c")
    sink.end()
    assert fleet.said() == b"HTTP/1.1 200 OK\r\nX-Odd: 1\r\nX-Odd: 2\r\nContent-Length: 3\r\n\r\nabc"
    assert fleet.agent.open_requests == 0 and not fleet.transport.disconnecting
    assert len(fleet.calls) == 1 and fleet.ask() and len(fleet.calls) == 2


def test_a_stream_is_passed_on_as_it_comes_and_ends_with_its_last_chunk():
    fleet = Fleet()
    _, sink = fleet.ask()
    sink.head(200, [])
    sink.data(b"ab")
    assert fleet.said().endswith(b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
    sink.data(b"c")
    assert fleet.said() == b"1\r\nc\r\n"
    sink.end()
    assert fleet.said() == b"0\r\n\r\n"


def test_an_answer_cut_off_does_not_look_complete():
    fleet = Fleet()
    _, sink = fleet.ask()
    sink.head(200, [(b"Content-Type", b"text/event-stream")])
    sink.data(b"ab")
    sink.abort()
    sink.data(b"c")
    sink.end()
    assert fleet.said().endswith(b"2\r\nab\r\n") and fleet.transport.disconnecting and sink.is_disconnected()
    fleet.clock.advance(front.ABORT_DELAY_S)
    assert fleet.transport.aborted


def test_an_answer_shorter_than_its_length_is_cut():
    fleet = Fleet()
    _, sink = fleet.ask()
    sink.head(200, [(b"Content-Length", b"5")])
    sink.data(b"ab")
    sink.end()
    assert fleet.transport.disconnecting and fleet.said().endswith(b"ab")


@pytest.mark.parametrize(
    "failure,status,retry",
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
def test_failures_become_statuses(failure, status, retry):
    fleet = Fleet()
    _, sink = fleet.ask()
    sink.fail(failure)
    said = fleet.said()
    assert said.startswith(b"HTTP/1.1 %d " % status) and type(failure).__name__.encode() in said
    assert (b"Retry-After: %s\r\n" % retry in said) if retry else b"Retry-After" not in said
    assert (b"Connection: close" in said) == isinstance(failure, failures.Leaving)


def test_a_failure_after_the_head_cuts_and_a_broken_serve_is_told():
    fleet = Fleet()
    _, sink = fleet.ask()
    sink.head(200, [(b"Content-Type", b"text/event-stream")])
    sink.fail(failures.Unknown())
    assert fleet.transport.disconnecting and not fleet.said().endswith(b"0\r\n\r\n")
    other = Fleet()
    other.server.handle = front.make_handler(other.agent, lambda *_: 1 / 0)
    other.ask()
    assert other.said().startswith(b"HTTP/1.1 502 ") and other.agent.open_requests == 0


def test_answers_of_a_leaving_daemon_end_their_connection():
    fleet = Fleet()
    _, sink = fleet.ask()
    fleet.agent.draining = True
    sink.head(200, [])
    sink.end()
    assert b"Connection: close\r\n" in fleet.said() and fleet.transport.disconnecting


def test_a_client_that_leaves_is_told_and_backpressure_passes():
    fleet, seen = Fleet(), []
    _, sink = fleet.ask()
    sink.on_disconnect(lambda: seen.append("gone"))
    sink.on_pause(lambda: seen.append("pause"))
    sink.on_resume(lambda: seen.append("resume"))
    fleet.channel.pauseProducing()
    fleet.channel.resumeProducing()
    fleet.channel.connectionLost(SimpleNamespace(value=None))
    assert seen == ["pause", "resume", "gone"] and sink.is_disconnected() and fleet.agent.open_requests == 0
    sink.head(200, [])
    sink.data(b"x")
    sink.end()
    sink.fail(failures.Unknown())


@pytest.mark.parametrize(
    "sent,status",
    [
        (GET + b"X-Long: " + b"a" * 600 + b"\r\n", 431),
        (b"GET /" + b"a" * 600, 431),
        (GET + b"Content-Length: 9\r\n\r\n", 413),
        (GET + b"Transfer-Encoding: chunked\r\n\r\n9\r\nabcdefghi\r\n", 413),
        (GET + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"odd\r\n", 400),
    ],
)
def test_bounds_of_what_a_client_sends(sent, status):
    fleet = Fleet(header_bytes=500, body_bytes=8)
    fleet.ask(sent)
    fleet.ask(b"0\r\n\r\n" + GET + b"\r\n")
    said = fleet.said()
    assert said.startswith(b"HTTP/1.1 %d " % status) and said.count(b"HTTP/1.1") == 1
    assert fleet.calls == [] and fleet.transport.ended
    fleet.clock.advance(5)
    assert fleet.transport.aborted


def test_times_of_a_slow_client():
    fleet = Fleet(header_ms=1000, idle_ms=3000)
    for _ in range(3):
        fleet.channel.dataReceived(b"GET")
        fleet.clock.advance(0.5)
    assert fleet.said().startswith(b"HTTP/1.1 408 ")
    body = Fleet(header_ms=1000, idle_ms=3000)
    body.ask(GET + b"Content-Length: 9\r\n\r\nab")
    body.clock.advance(3.1)
    assert body.said().startswith(b"HTTP/1.1 408 ") and body.calls == []
    idle = Fleet(header_ms=1000, idle_ms=3000)
    idle.clock.advance(3.1)
    assert idle.said() == b"" and idle.transport.disconnecting


def test_pipelined_requests_are_served_one_after_the_other():
    fleet = Fleet()
    fleet.ask((GET + b"\r\n") * 2)
    assert len(fleet.calls) == 1
    fleet.calls[0][1].fail(failures.NoRoute())
    assert len(fleet.calls) == 2
    fleet.server.close_idle()
    assert not fleet.transport.disconnecting
    fleet.calls[1][1].fail(failures.NoRoute())
    fleet.server.close_idle()
    assert fleet.transport.disconnecting
