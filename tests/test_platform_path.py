"""Guards against wrong responses end to end: client connection, front, proxy and runner connection."""

import pytest
from proxy_harness import ProxyHarness, chunk, make_route, make_runner
from test_platform_front import RecordingTransport
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from frostpost.platform import front
from frostpost.platform.runner_protocol import make_wire
from frostpost.program_ledger.key_messages import ClaimOperationKey, KeyAnswered, ResolveOperationKey
from frostpost.proxy import serve

SEAL = b"X-Server-Seal: 3e1b.07\r\n"
EVENT = b"id: 1\ndata: a\n\n"


class RequestPath:
    """A front and proxy between one client and one runner."""

    def __init__(self, monkeypatch, **route):
        self.harness = ProxyHarness(
            [make_route(**{"kind": "unsafe", "attempts": 1, **route})], [make_runner("r1")], monkeypatch
        )
        agent = self.harness.agent
        agent.wire, agent.settings.max_fds = make_wire(), 1000
        self.server = front.make_server(agent, serve.serve)
        self.connect_client()

    def connect_client(self):
        """Open a new client connection."""
        self.transport, channel = RecordingTransport(), self.server.buildProtocol(None)
        channel.makeConnection(self.transport)
        self.channel = channel

    def send_request(self, attempt=b"a1", version=b"1.1", headers=b""):
        """Send a request. Returns the connection to the runner if a new one was opened."""
        self.channel.dataReceived(
            b"POST /a/x HTTP/%s\r\nHost: h\r\nX-Attempt-Id: %s\r\n%sContent-Length: 2\r\n\r\nin"
            % (version, attempt, headers)
        )
        if len(self.harness.reactor.tcpClients) > len(self.harness.connections):
            return self.harness.accept_connection()
        return None

    def take_response(self):
        """Return the bytes that the client received since the last call."""
        self.harness.reactor.advance(0)
        value = self.transport.value()
        self.transport.clear()
        return value


def response_bytes(status=b"200 OK", body=b"out", headers=SEAL, attempt=b"a1"):
    head = b"HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s" % (status, attempt, headers)
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def stream_bytes(*events, headers=SEAL):
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n%sContent-Type: text/event-stream\r\n" % headers
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(map(chunk, events))


def lose_connection(connection, reason=ConnectionLost):
    connection.connectionLost(Failure(reason()))


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
@pytest.mark.parametrize("status", [b"500 X", b"504 X", b"404 X", b"410 X", b"402 X", b"301 X", b"599 X"])
@pytest.mark.parametrize("headers", [SEAL, b""])
def test_runner_failure_keeps_its_status_seal_and_body(monkeypatch, kind, status, headers):
    request_path = RequestPath(monkeypatch, kind=kind)
    request_path.send_request(headers=b"X-Operation-Key: k\r\n").dataReceived(response_bytes(status, b"bad", headers))
    response = request_path.take_response()
    assert (
        response.startswith(b"HTTP/1.1 " + status[:4])
        and response.endswith(b"\r\n\r\nbad")
        and response.count(SEAL) == bool(headers)
    )


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
@pytest.mark.parametrize(
    "invalid_response",
    [
        response_bytes(b"503 Full"),
        response_bytes(b"429 Many"),
        response_bytes(b"408 Late"),
        response_bytes(b"503 Full", headers=SEAL + b"Retry-After: 1\r\n"),
        response_bytes(headers=b""),
        response_bytes(headers=b"X-Server-Seal: \r\n"),
        response_bytes(headers=SEAL + SEAL),
        response_bytes(attempt=b"a0"),
        response_bytes(attempt=b""),
        response_bytes(headers=SEAL + b"Content-Encoding: gzip\r\n"),
        response_bytes(headers=SEAL + b"X-Not-Executed: 1\r\n"),
        response_bytes(headers=SEAL + b"X-Attempt-Id: a0\r\n"),
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + SEAL + b"bad header\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + SEAL + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_rejected_runner_response_becomes_a_plain_502(monkeypatch, kind, invalid_response):
    request_path = RequestPath(monkeypatch, kind=kind)
    request_path.send_request(headers=b"X-Operation-Key: k\r\n").dataReceived(invalid_response)
    response = request_path.take_response()
    assert response.startswith(b"HTTP/1.1 502 ") and b"X-Server-Seal" not in response and b"out" not in response
    assert b"Retry-After" not in response


@pytest.mark.parametrize("status", [b"402 X", b"404 X"])
def test_retained_turn_does_not_forward_a_runners_402_or_404(monkeypatch, status):
    request_path = RequestPath(monkeypatch, kind="streaming", retained=True, retention_ms=9)
    request_path.send_request().dataReceived(response_bytes(status))
    response = request_path.take_response()
    assert response.startswith(b"HTTP/1.1 502 ") and b"X-Server-Seal" not in response


@pytest.mark.parametrize("reason", [ConnectionDone, ConnectionLost])
@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent"])
def test_truncated_response_is_a_failure(monkeypatch, kind, reason):
    for data in (response_bytes(body=b"out")[:-1], response_bytes().replace(b"Content-Length: 3\r\n", b"")):
        request_path = RequestPath(monkeypatch, kind=kind)
        connection = request_path.send_request(headers=b"X-Operation-Key: k\r\n")
        connection.dataReceived(data)
        lose_connection(connection, reason)
        assert request_path.take_response().startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize("reason", [ConnectionDone, ConnectionLost])
def test_truncated_stream_is_incomplete(monkeypatch, reason):
    bodies = [stream_bytes(EVENT), stream_bytes(EVENT)[:-1], stream_bytes(EVENT) + b"0\r\n", stream_bytes()]
    bodies.append(stream_bytes(EVENT).replace(b"Transfer-Encoding: chunked\r\n", b""))
    for data in bodies:
        request_path = RequestPath(monkeypatch, kind="streaming")
        connection = request_path.send_request()
        connection.dataReceived(data)
        lose_connection(connection, reason)
        response = request_path.take_response()
        assert b"Transfer-Encoding: chunked\r\n" in response and not response.endswith(b"0\r\n\r\n")
        assert request_path.transport.disconnecting


def test_truncated_stream_to_an_http_1_0_client_is_reset(monkeypatch):
    request_path = RequestPath(monkeypatch, kind="streaming")
    connection = request_path.send_request(version=b"1.0")
    connection.dataReceived(stream_bytes(EVENT))
    assert request_path.take_response().endswith(EVENT)
    lose_connection(connection)
    assert request_path.transport.aborted


def test_replayed_response_has_the_attempt_id_of_the_request(monkeypatch):
    request_path = RequestPath(monkeypatch, kind="idempotent")
    request_path.send_request(headers=b"X-Operation-Key: k\r\n").dataReceived(response_bytes(b"201 Made"))
    first_response = request_path.take_response()
    (resolved,) = [
        operation for operation in request_path.harness.operations if isinstance(operation, ResolveOperationKey)
    ]
    request_path.harness.results[ClaimOperationKey] = KeyAnswered(resolved.answer)
    request_path.connect_client()
    request_path.send_request(b"a2", headers=b"X-Operation-Key: k\r\n")
    replayed = request_path.take_response()
    assert (
        first_response.startswith(b"HTTP/1.1 201 ")
        and b"X-Attempt-Id: a1\r\n" in first_response
        and SEAL in first_response
    )
    assert replayed == first_response.replace(b"X-Attempt-Id: a1", b"X-Attempt-Id: a2")


def test_surplus_bytes_are_discarded(monkeypatch):
    request_path = RequestPath(monkeypatch)
    request_path.send_request().dataReceived(response_bytes() + response_bytes(body=b"more"))
    first_response = request_path.take_response()
    assert first_response.endswith(b"\r\n\r\nout") and first_response.count(b"HTTP/1.1") == 1
    request_path.connect_client()
    second_connection = request_path.send_request(b"a2")
    assert second_connection is not None and request_path.take_response() == b""
    second_connection.dataReceived(response_bytes(attempt=b"a2", body=b"own"))
    assert request_path.take_response().endswith(b"\r\n\r\nown")


def test_response_of_a_disconnected_client_is_discarded(monkeypatch):
    request_path = RequestPath(monkeypatch)
    connection = request_path.send_request()
    request_path.channel.connectionLost(Failure(ConnectionDone()))
    request_path.connect_client()
    request_path.send_request(b"a2")
    if not connection.unusable:
        connection.dataReceived(response_bytes())
    assert request_path.take_response() == b"" and connection.unusable
