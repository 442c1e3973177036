"""The whole way of a request: a client's connection, the front, the proxy, and a runner's connection."""

import pytest
from proxy_harness import ProxyHarness, chunk, make_route, make_runner
from test_platform_front import Wire
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from frostpost.platform import front
from frostpost.platform.runner_protocol import make_wire
from frostpost.program_ledger.messages import ClaimOperationKey, KeyAnswered, ResolveOperationKey
from frostpost.proxy import serve

SEAL = b"X-Server-Seal: 3e1b.07\r\n"
EVENT = b"id: 1\ndata: a\n\n"


class Path:
    """One client in front of one runner."""

    def __init__(self, patch, **route):
        self.harness = ProxyHarness(
            [make_route(**{"kind": "unsafe", "attempts": 1, **route})], [make_runner("r1")], patch
        )
        agent = self.harness.agent
        agent.wire, agent.settings.max_fds = make_wire(), 1000
        self.server = front.make_server(agent, serve.serve)
        self.client()

    def client(self):
        """Let another connection of a client come in."""
        self.transport, channel = Wire(), self.server.buildProtocol(None)
        channel.makeConnection(self.transport)
        self.channel = channel

    def ask(self, attempt=b"a1", version=b"1.1", more=b""):
        """Send a request; the runner's connection if a new one came up."""
        self.channel.dataReceived(
            b"POST /a/x HTTP/%s\r\nHost: h\r\nX-Attempt-Id: %s\r\n%sContent-Length: 2\r\n\r\nin"
            % (version, attempt, more)
        )
        if len(self.harness.reactor.tcpClients) > len(self.harness.connections):
            return self.harness.accept_connection()
        return None

    def said(self):
        """What the client got since it was asked last."""
        self.harness.reactor.advance(0)
        value = self.transport.value()
        self.transport.clear()
        return value


def answer(status=b"200 OK", body=b"out", more=SEAL, attempt=b"a1"):
    head = b"HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s" % (status, attempt, more)
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def stream(*events, more=SEAL):
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n%sContent-Type: text/event-stream\r\n" % more
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(map(chunk, events))


def lose(wire, reason=ConnectionLost):
    wire.connectionLost(Failure(reason()))


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
@pytest.mark.parametrize("status", [b"500 X", b"504 X", b"404 X", b"410 X", b"402 X", b"301 X", b"599 X"])
@pytest.mark.parametrize("more", [SEAL, b""])
def test_a_runners_own_failure_keeps_its_status_seal_and_body(monkeypatch, kind, status, more):
    path = Path(monkeypatch, kind=kind)
    path.ask(more=b"X-Operation-Key: k\r\n").dataReceived(answer(status, b"bad", more))
    said = path.said()
    assert (
        said.startswith(b"HTTP/1.1 " + status[:4]) and said.endswith(b"\r\n\r\nbad") and said.count(SEAL) == bool(more)
    )


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
@pytest.mark.parametrize(
    "bad",
    [
        answer(b"503 Full"),
        answer(b"429 Many"),
        answer(b"408 Late"),
        answer(b"503 Full", more=SEAL + b"Retry-After: 1\r\n"),
        answer(more=b""),
        answer(more=b"X-Server-Seal: \r\n"),
        answer(more=SEAL + SEAL),
        answer(attempt=b"a0"),
        answer(attempt=b""),
        answer(more=SEAL + b"Content-Encoding: gzip\r\n"),
        answer(more=SEAL + b"X-Not-Executed: 1\r\n"),
        answer(more=SEAL + b"X-Attempt-Id: a0\r\n"),
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + SEAL + b"bad header\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + SEAL + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_a_failure_of_ours_makes_no_promise_and_bears_nothing_of_the_runners(monkeypatch, kind, bad):
    path = Path(monkeypatch, kind=kind)
    path.ask(more=b"X-Operation-Key: k\r\n").dataReceived(bad)
    said = path.said()
    assert said.startswith(b"HTTP/1.1 502 ") and b"X-Server-Seal" not in said and b"out" not in said
    assert b"Retry-After" not in said


@pytest.mark.parametrize("status", [b"402 X", b"404 X"])
def test_a_kept_turns_promise_is_never_taken_from_a_runner(monkeypatch, status):
    path = Path(monkeypatch, kind="streaming", retained=True, retention_ms=9)
    path.ask().dataReceived(answer(status))
    said = path.said()
    assert said.startswith(b"HTTP/1.1 502 ") and b"X-Server-Seal" not in said


@pytest.mark.parametrize("reason", [ConnectionDone, ConnectionLost])
@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent"])
def test_an_answer_that_ends_early_is_a_failure(monkeypatch, kind, reason):
    for bytes_ in (answer(body=b"out")[:-1], answer().replace(b"Content-Length: 3\r\n", b"")):
        path = Path(monkeypatch, kind=kind)
        wire = path.ask(more=b"X-Operation-Key: k\r\n")
        wire.dataReceived(bytes_)
        lose(wire, reason)
        assert path.said().startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize("reason", [ConnectionDone, ConnectionLost])
def test_a_stream_that_ends_early_does_not_look_complete(monkeypatch, reason):
    bodies = [stream(EVENT), stream(EVENT)[:-1], stream(EVENT) + b"0\r\n", stream()]
    bodies.append(stream(EVENT).replace(b"Transfer-Encoding: chunked\r\n", b""))
    for data in bodies:
        path = Path(monkeypatch, kind="streaming")
        wire = path.ask()
        wire.dataReceived(data)
        lose(wire, reason)
        said = path.said()
        assert b"Transfer-Encoding: chunked\r\n" in said and not said.endswith(b"0\r\n\r\n")
        assert path.transport.disconnecting


def test_a_stream_to_an_old_client_ends_early_with_a_reset(monkeypatch):
    path = Path(monkeypatch, kind="streaming")
    wire = path.ask(version=b"1.0")
    wire.dataReceived(stream(EVENT))
    assert path.said().endswith(EVENT)
    lose(wire)
    assert path.transport.aborted


def test_a_repeat_of_a_key_gets_the_first_answer_under_its_own_id(monkeypatch):
    path = Path(monkeypatch, kind="idempotent")
    path.ask(more=b"X-Operation-Key: k\r\n").dataReceived(answer(b"201 Made"))
    first = path.said()
    (resolved,) = [operation for operation in path.harness.operations if isinstance(operation, ResolveOperationKey)]
    path.harness.results[ClaimOperationKey] = KeyAnswered(resolved.answer)
    path.client()
    path.ask(b"a2", more=b"X-Operation-Key: k\r\n")
    repeat = path.said()
    assert first.startswith(b"HTTP/1.1 201 ") and b"X-Attempt-Id: a1\r\n" in first and SEAL in first
    assert repeat == first.replace(b"X-Attempt-Id: a1", b"X-Attempt-Id: a2")


def test_surplus_bytes_reach_nobody(monkeypatch):
    path = Path(monkeypatch)
    path.ask().dataReceived(answer() + answer(body=b"more"))
    first = path.said()
    assert first.endswith(b"\r\n\r\nout") and first.count(b"HTTP/1.1") == 1
    path.client()
    second = path.ask(b"a2")
    assert second is not None and path.said() == b""
    second.dataReceived(answer(attempt=b"a2", body=b"own"))
    assert path.said().endswith(b"\r\n\r\nown")


def test_a_client_that_left_is_answered_nowhere_else(monkeypatch):
    path = Path(monkeypatch)
    wire = path.ask()
    path.channel.connectionLost(Failure(ConnectionDone()))
    path.client()
    path.ask(b"a2")
    if not wire.unusable:
        wire.dataReceived(answer())
    assert path.said() == b"" and wire.unusable
