"""A leaf without a network: a clock, connections held by hand, and a sink that keeps what it is told."""

from types import SimpleNamespace

from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import MemoryReactorClock, StringTransport

from frostpost.cluster import lease_client
from frostpost.cluster.agent_context import AgentContext
from frostpost.daemon.machine import Machine
from frostpost.program_ledger.messages import (
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    ClaimOperationKey,
    EndAttempt,
    KeyClaimed,
)
from frostpost.proxy import idempotency, operation_retry, pool, serve, turn
from frostpost.proxy.failures import Unavailable
from frostpost.proxy.models import Call, Route, Routing, Runner, RunnerHead, Service, Sink, Wire
from frostpost.turn_store.client import Synced

HOLDERS = frozenset({"s1", "s2"})


def a_route(**more):
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
            **more,
        )
    )


def a_runner(name, **more):
    return Runner(
        **dict(
            dict(id=name, service="s", host="10.0.0.1", port=int("1" + name[1:]) if name[1:] else 9, zone="z", slots=4),
            **more,
        )
    )


def request_headers(call, runner, left_ms):
    return [
        *call.headers,
        (b"Attempt", call.attempt.encode()),
        (b"Left", b"%d" % left_ms),
        (b"Last", call.last_event_id.encode()),
    ]


def read_head(status, fields):
    held = {name.lower(): value for name, value in fields}
    return RunnerHead(
        status,
        [(n, v) for n, v in fields if n.lower() != b"connection"],
        attempt=held.get(b"attempt", b"").decode(),
        not_executed=b"not-run" in held,
        sealed=b"seal" in held,
        close=held.get(b"connection") == b"close",
    )


class Stage:
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
        self.told, self.asked, self.puts, self.seen = [], [], [], []
        self.verdicts, self.chain, self.lease, self.gone, self.voters = {}, {}, True, None, HOLDERS
        self.wires = []
        if patch is not None:
            for module in (idempotency, operation_retry, turn):
                patch.setattr(module, "call_replicas", self.ask)
            for module in (idempotency, turn):
                patch.setattr(module, "submit_until_decided", self.submit_until_decided)
            patch.setattr(turn, "put", self.put)
            patch.setattr(turn, "is_durable_at", lambda agent, holders: holders <= self.voters)
            patch.setattr(
                turn,
                "fetch",
                lambda agent, turns, wait_ms: succeed(
                    Ok(tuple(self.chain[t] for t in turns))
                    if all(t in self.chain for t in turns)
                    else Error(Unavailable(100))
                ),
            )
            for module in (pool, lease_client):
                patch.setattr(module, "holds_lease", lambda agent: self.lease)

    def submit_until_decided(self, agent, op):
        self.told.append(op)
        return succeed(Ok(AttemptEnded()))

    def ask(self, agent, op, wait_ms):
        self.asked.append(op)
        verdict = self.verdicts.get(type(op))
        if verdict is None:
            verdict = {
                BeginAttempt: AttemptBegun("r1", ()),
                ClaimOperationKey: KeyClaimed(),
                EndAttempt: AttemptEnded(),
            }.get(type(op), AttemptEnded())
        if isinstance(verdict, (Deferred, list)):
            verdict = verdict.pop(0) if isinstance(verdict, list) else verdict
        if isinstance(verdict, Deferred):
            return verdict
        return succeed(Error(verdict) if isinstance(verdict, Unavailable) else Ok(verdict))

    def put(self, agent, name, data, wait_ms):
        self.puts.append((name, data))
        verdict = self.verdicts.get("put", Ok(Synced(HOLDERS)))
        verdict = verdict.pop(0) if isinstance(verdict, list) else verdict
        return verdict if isinstance(verdict, Deferred) else succeed(verdict)

    def serve(self, **more):
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
                **more,
            )
        )
        note = self.seen.append
        sink = Sink(
            head=lambda s, h: note(("head", s)),
            data=lambda d: note(("data", d)),
            end=lambda: note("end"),
            abort=lambda: note("cut"),
            failed=note,
            is_disconnected=lambda: False,
            on_disconnect=lambda f: setattr(self, "gone", f),
            on_pause=lambda f: None,
            on_resume=lambda f: None,
        )
        return serve.serve(self.agent, call, sink)

    def connect(self):
        """Let the newest asked connection come up."""
        factory = self.reactor.tcpClients[len(self.wires)][2]
        protocol = factory.buildProtocol(None)
        transport = StringTransport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        self.reactor.advance(0)
        self.wires.append(protocol)
        return protocol._wrappedProtocol

    def refuse_connection(self, reason):
        factory = self.reactor.tcpClients[len(self.wires)][2]
        self.wires.append(None)
        factory.clientConnectionFailed(None, reason)
        self.reactor.advance(0)


def answer_bytes(body=b"out", attempt=b"a1", status=b"200 OK", more=b"Seal: x\r\n", length=None):
    return (
        b"HTTP/1.1 "
        + status
        + b"\r\nAttempt: "
        + attempt
        + b"\r\n"
        + more
        + b"Content-Length: %d\r\n\r\n" % (len(body) if length is None else length)
    ) + body


HEAD = b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"
