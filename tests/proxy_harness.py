"""Test harness for the proxy: a simulated clock, in-memory connections and a sink that records what the client gets."""

from types import SimpleNamespace

from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import MemoryReactorClock, StringTransport

from frostpost.cluster import lease_client
from frostpost.cluster.agent_context import AgentContext
from frostpost.daemon.machine import Machine
from frostpost.program_ledger.key_messages import ClaimOperationKey, KeyClaimed
from frostpost.program_ledger.messages import AttemptBegun, AttemptEnded, BeginAttempt, EndAttempt
from frostpost.proxy import idempotency, operation_retry, pool, serve, turn
from frostpost.proxy.failures import Unavailable
from frostpost.proxy.models import Call, Route, Routing, Runner, RunnerHead, Service, Sink, Wire
from frostpost.turn_store.client import Synced

HOLDERS = frozenset({"s1", "s2"})


def make_route(**overrides):
    return Route(
        **dict(
            dict(
                name="r",
                host="h",
                prefix="/a/",
                kind="safe",
                timeout_ms=5000,
                target_latency_ms=400,
                rank=0,
                weights=(("s", 1),),
                attempts=2,
            ),
            **overrides,
        )
    )


def make_runner(name, **overrides):
    return Runner(
        **dict(
            dict(id=name, service="s", host="10.0.0.1", port=int("1" + name[1:]) if name[1:] else 9, zone="z", slots=4),
            **overrides,
        )
    )


def request_headers(call, runner, remaining_ms):
    return [
        *call.headers,
        (b"Attempt", call.attempt.encode()),
        (b"Left", b"%d" % remaining_ms),
        (b"Last", call.last_event_id.encode()),
    ]


def read_head(status, fields):
    values = {name.lower(): value for name, value in fields}
    return RunnerHead(
        status,
        [(n, v) for n, v in fields if n.lower() != b"connection"],
        attempt=values.get(b"attempt", b"").decode(),
        not_executed=b"not-run" in values,
        sealed=b"seal" in values,
        close=values.get(b"connection") == b"close",
    )


def types_of(items):
    return [type(item) for item in items]


class ProxyHarness:
    """A proxy whose ledger, turn store and lease are controlled by the test.

    client_events: calls to the sink, in order. operations: operations submitted to the ledger and awaited;
    background_operations: those that are not awaited. results: what the ledger and the turn store return, by operation
    type or "put".
    """

    def __init__(self, routes, runners=(), patch=None):
        self.reactor = MemoryReactorClock()
        settings = SimpleNamespace(
            key_window_ms=1000, tick_ms=500, lease_ms=1200, list_ms=1000, connection_share=0.5, zone="z"
        )
        agent = self.agent = AgentContext(settings, self.reactor, None, Machine(seconds=self.reactor.seconds))
        agent.routing = Routing(
            1, tuple(routes), {"s": Service("s", 8, event_tokens=2), "t": Service("t", 8, dedupes=True)}
        )
        agent.runners = {runner.id: runner for runner in runners}
        agent.wire = Wire(request_headers, read_head)
        self.background_operations, self.operations, self.stored_bodies, self.client_events = [], [], [], []
        self.results, self.bodies, self.has_lease, self.disconnect_client, self.voters = {}, {}, True, None, HOLDERS
        self.connections = []
        if patch is not None:
            for module in (idempotency, operation_retry, turn):
                patch.setattr(module, "call_replicas", self.call_replicas)
            for module in (idempotency, turn):
                patch.setattr(module, "submit_until_decided", self.submit_until_decided)
            patch.setattr(turn, "put", self.put)
            patch.setattr(turn, "is_durable_at", lambda agent, holders: holders <= self.voters)
            patch.setattr(
                turn,
                "fetch",
                lambda agent, turns, wait_ms: succeed(
                    Ok(tuple(self.bodies[t] for t in turns))
                    if all(t in self.bodies for t in turns)
                    else Error(Unavailable(100))
                ),
            )
            for module in (pool, lease_client):
                patch.setattr(module, "holds_lease", lambda agent: self.has_lease)

    def submit_until_decided(self, agent, op):
        self.background_operations.append(op)
        return succeed(Ok(AttemptEnded()))

    def call_replicas(self, agent, op, wait_ms):
        self.operations.append(op)
        result = self.results.get(type(op))
        if result is None:
            result = {
                BeginAttempt: AttemptBegun("r1", ()),
                ClaimOperationKey: KeyClaimed(),
                EndAttempt: AttemptEnded(),
            }.get(type(op), AttemptEnded())
        if isinstance(result, (Deferred, list)):
            result = result.pop(0) if isinstance(result, list) else result
        if isinstance(result, Deferred):
            return result
        return succeed(Error(result) if isinstance(result, Unavailable) else Ok(result))

    def put(self, agent, name, data, wait_ms):
        self.stored_bodies.append((name, data))
        result = self.results.get("put", Ok(Synced(HOLDERS)))
        result = result.pop(0) if isinstance(result, list) else result
        return result if isinstance(result, Deferred) else succeed(result)

    def serve(self, **overrides):
        call = Call(
            **dict(
                dict(
                    attempt="a1",
                    method=b"POST",
                    uri=b"/a/x?y",
                    host="h",
                    headers=[],
                    body=b"in",
                    started_ms=0,
                    deadline_ms=4000,
                ),
                **overrides,
            )
        )
        record = self.client_events.append
        sink = Sink(
            head=lambda s, h: record(("head", s)),
            data=lambda d: record(("data", d)),
            end=lambda: record("end"),
            abort=lambda: record("cut"),
            fail=record,
            is_disconnected=lambda: False,
            on_disconnect=lambda f: setattr(self, "disconnect_client", f),
            on_pause=lambda f: None,
            on_resume=lambda f: None,
        )
        return serve.serve(self.agent, call, sink)

    def accept_connection(self):
        """Complete the oldest pending connection attempt."""
        factory = self.reactor.tcpClients[len(self.connections)][2]
        protocol = factory.buildProtocol(None)
        transport = StringTransport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        self.reactor.advance(0)
        self.connections.append(protocol)
        return protocol._wrappedProtocol

    def fail_connection(self, reason):
        """Fail the oldest pending connection attempt."""
        factory = self.reactor.tcpClients[len(self.connections)][2]
        self.connections.append(None)
        factory.clientConnectionFailed(None, reason)
        self.reactor.advance(0)


def response_bytes(body=b"out", attempt=b"a1", status=b"200 OK", headers=b"Seal: x\r\n", length=None):
    return (
        b"HTTP/1.1 "
        + status
        + b"\r\nAttempt: "
        + attempt
        + b"\r\n"
        + headers
        + b"Content-Length: %d\r\n\r\n" % (len(body) if length is None else length)
    ) + body


HEAD = b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"
