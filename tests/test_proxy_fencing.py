"""What a daemon may still do, and what it answers, once its lease, its time or its claim is gone."""

import pytest
from expression import Ok
from proxy_harness import HEAD, Stage, a_route, a_runner, answer_bytes, chunk
from twisted.internet.defer import Deferred

from frostpost.program_ledger.messages import (
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    ClaimOperationKey,
    EndAttempt,
    KeyClaimed,
    NoAttempt,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.proxy import failures

REFUSED = answer_bytes(b"", status=b"503 Full", more=b"Not-Run: 1\r\n")
ONE = b"id: 1\ndata: a\n\n"


def stage(monkeypatch, kind, **more):
    return Stage([a_route(kind=kind, **more)], [a_runner("r1")], monkeypatch)


def kinds(items):
    return [type(item) for item in items]


def test_an_answer_under_a_key_that_is_another_attempts_is_not_handed_over(monkeypatch):
    s = stage(monkeypatch, "idempotent")
    s.verdicts[ResolveOperationKey] = NoAttempt("a1")
    s.serve(key="k")
    s.connect().dataReceived(answer_bytes())
    assert kinds(s.seen) == [failures.Unknown]


def test_a_turn_that_the_ledger_does_not_know_any_more_is_not_ended_whole(monkeypatch):
    s = stage(monkeypatch, "streaming", retained=True, retention_ms=9000)
    s.verdicts[EndAttempt] = NoAttempt("a1")
    s.serve()
    s.connect().dataReceived(HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert s.seen == [("head", 200), ("data", ONE), "cut"]


def test_a_refused_key_is_answered_before_its_claim_is_withdrawn(monkeypatch):
    s = stage(monkeypatch, "idempotent", attempts=1)
    s.verdicts[ReleaseOperationKey] = Deferred()
    s.serve(key="k")
    s.connect().dataReceived(REFUSED)
    assert (
        kinds(s.seen) == [failures.Overloaded]
        and s.asked[-1] == ReleaseOperationKey("h|k", "a1")
        and s.agent.flights == 1
    )
    s.verdicts[ReleaseOperationKey].callback(Ok(AttemptEnded()))
    assert s.agent.flights == 0 and len(s.seen) == 1


@pytest.mark.parametrize("kind, operation", [("idempotent", ResolveOperationKey), ("streaming", EndAttempt)])
def test_an_answer_that_is_not_made_to_last_is_given_up_soon_after_its_time(monkeypatch, kind, operation):
    s = stage(monkeypatch, kind, retained=kind == "streaming", retention_ms=9000)
    s.waits = {}
    kept = s.ask
    for module in ("idempotency", "turn"):
        monkeypatch.setattr(
            f"frostpost.proxy.{module}.call_replicas", lambda agent, op, ms: noted(s, kept, agent, op, ms)
        )
    s.serve(key="k", deadline_ms=1000)
    wire = s.connect()
    s.reactor.advance(0.99)
    wire.dataReceived(answer_bytes() if kind == "idempotent" else HEAD + chunk(ONE) + b"0\r\n\r\n")
    assert 10 <= s.waits[operation] < 250


def noted(s, kept, agent, op, ms):
    s.waits[type(op)] = ms
    return kept(agent, op, ms)


@pytest.mark.parametrize(
    "kind, operation, verdict",
    [
        ("idempotent", ClaimOperationKey, KeyClaimed()),
        ("streaming", BeginAttempt, AttemptBegun("r1", ())),
    ],
)
@pytest.mark.parametrize("change", ["lease", "time", "runner"])
def test_nothing_is_sent_when_what_allowed_it_ended_while_the_ledger_was_asked(
    monkeypatch, kind, operation, verdict, change
):
    s = stage(monkeypatch, kind, retained=kind == "streaming", retention_ms=9000)
    s.verdicts[operation] = asked = Deferred()
    s.serve(key="k", deadline_ms=1000)
    if change == "lease":
        s.lease = False
    elif change == "time":
        s.reactor.advance(1.1)
    else:
        s.agent.runners = {}
    asked.callback(Ok(verdict))
    for _ in range(30):
        s.reactor.advance(0.02)
    assert s.reactor.tcpClients == []
    assert len(s.seen) == 1 and type(s.seen[0]) in (failures.Unavailable, failures.Overloaded)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
def test_nothing_is_written_on_a_connection_that_comes_up_after_the_lease(monkeypatch, kind):
    s = stage(monkeypatch, kind)
    s.serve(key="k")
    s.lease = False
    wire = s.connect()
    for _ in range(30):
        s.reactor.advance(0.02)
    assert wire.transport.value() == b"" and kinds(s.seen) == [failures.Unavailable]


def test_a_key_whose_answer_comes_after_the_lease_gets_no_success(monkeypatch):
    s = stage(monkeypatch, "idempotent")
    s.verdicts[ResolveOperationKey] = failures.Unavailable(9)
    s.serve(key="k")
    wire = s.connect()
    s.lease = False
    wire.dataReceived(answer_bytes())
    assert kinds(s.seen) == [failures.Unknown] and kinds(s.told) == [ResolveOperationKey]
