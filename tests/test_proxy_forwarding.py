import pytest
from expression import Ok
from proxy_harness import ProxyHarness, make_route, make_runner, response_bytes
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from frostpost.program_ledger.key_messages import (
    ClaimOperationKey,
    KeyAnswered,
    KeyInProgress,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.program_ledger.messages import AttemptEnded
from frostpost.proxy import failures, runner_discovery
from frostpost.proxy.idempotency import deserialize_answer, serialize_answer
from frostpost.proxy.outcomes import Answer

OK = [("head", 200), ("data", b"out"), "end"]
RUNNERS = [make_runner("r1"), make_runner("r2")]
REFUSAL = response_bytes(b"", status=b"503 Full", headers=b"Not-Run: 1\r\n")


def make_harness(monkeypatch, kind="unsafe", runners=RUNNERS, **route):
    return ProxyHarness([make_route(kind=kind, **route)], runners, monkeypatch)


def lose_connection(connection):
    connection.connectionLost(Failure(ConnectionRefusedError()))


def test_complete_response_is_forwarded_and_the_connection_reused(monkeypatch):
    harness = make_harness(monkeypatch, runners=RUNNERS[:1])
    harness.serve(headers=[(b"X-Case", b"v")])
    connection = harness.accept_connection()
    request = connection.transport.value()
    assert request.startswith(b"POST /a/x?y HTTP/1.1\r\nHost: h\r\nX-Case: v\r\n")
    assert request.endswith(b"Content-Length: 2\r\n\r\nin")
    connection.dataReceived(response_bytes()[:-1])
    assert harness.client_events == []
    connection.dataReceived(response_bytes()[-1:])
    assert harness.client_events == OK
    harness.serve()
    assert len(harness.reactor.tcpClients) == 1 and connection.transport.value().count(b"POST") == 2


@pytest.mark.parametrize(
    "data",
    [
        response_bytes(attempt=b"a0"),
        response_bytes(headers=b""),
        response_bytes(headers=b"Seal: x\r\nContent-Encoding: gzip\r\n"),
        response_bytes(status=b"503 Full", headers=b""),
        b"nonsense\r\n\r\n",
        response_bytes(attempt=b"a0", status=b"503 Full", headers=b"Not-Run: 1\r\n"),
    ],
)
def test_invalid_response_is_discarded_and_reported_as_unknown(monkeypatch, data):
    harness = make_harness(monkeypatch)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(data)
    assert [type(item) for item in harness.client_events] == [failures.Unknown]
    assert connection.unusable and len(harness.reactor.tcpClients) == 1


def test_truncated_unsafe_response_is_unknown_and_not_retried(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(response_bytes(length=9))
    lose_connection(connection)
    assert [type(item) for item in harness.client_events] == [failures.Unknown] and len(harness.reactor.tcpClients) == 1


@pytest.mark.parametrize("surplus_at_once", [True, False])
def test_connection_with_surplus_bytes_is_not_reused(monkeypatch, surplus_at_once):
    harness = make_harness(monkeypatch, runners=RUNNERS[:1])
    harness.serve()
    connection = harness.accept_connection()
    connection.dataReceived(response_bytes() + (b"more" if surplus_at_once else b""))
    if not surplus_at_once:
        connection.dataReceived(response_bytes())
    assert harness.client_events == OK and connection.unusable
    harness.serve()
    assert len(harness.reactor.tcpClients) == 2


def test_safe_request_is_retried_after_a_lost_connection(monkeypatch):
    harness = make_harness(monkeypatch, kind="safe")
    harness.serve()
    lose_connection(harness.accept_connection())
    harness.accept_connection().dataReceived(response_bytes())
    assert harness.client_events == OK


@pytest.mark.parametrize("refusal", [REFUSAL, response_bytes(b"", status=b"421 Other", headers=b"")])
def test_refused_request_is_retried_then_reported_as_not_executed(monkeypatch, refusal):
    harness = make_harness(monkeypatch)
    harness.serve()
    harness.accept_connection().dataReceived(refusal)
    assert harness.client_events == [] and len(harness.reactor.tcpClients) == 2
    harness.accept_connection().dataReceived(refusal)
    assert [type(item) for item in harness.client_events] == [failures.Overloaded]
    assert len({client[1] for client in harness.reactor.tcpClients}) == 2


def test_failed_connection_attempt_does_not_count_as_a_send(monkeypatch):
    harness = make_harness(monkeypatch, attempts=1)
    harness.serve()
    harness.fail_connection(Failure(ConnectionRefusedError()))
    harness.accept_connection().dataReceived(response_bytes())
    assert harness.client_events == OK


@pytest.mark.parametrize("change", ["lease", "gone", "draining"])
def test_nothing_is_written_after_a_precondition_is_lost(monkeypatch, change):
    harness = make_harness(monkeypatch, runners=RUNNERS[:1])
    harness.serve()
    if change == "lease":
        harness.has_lease = False
    else:
        runner_discovery.apply_list(harness.agent, [] if change == "gone" else [make_runner("r1", draining=True)])
    connection = harness.accept_connection()
    harness.reactor.advance(1)
    assert connection.transport.value() == b""
    assert type(harness.client_events[0]) is (failures.Unavailable if change == "lease" else failures.Overloaded)


def test_unanswered_request_times_out_at_its_deadline(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve()
    harness.accept_connection()
    harness.reactor.advance(3.9)
    assert harness.client_events == []
    harness.reactor.advance(0.2)
    assert harness.client_events == [failures.TimedOut()]


def test_request_is_refused_within_the_slot_wait_if_no_runner_is_free(monkeypatch):
    harness = make_harness(monkeypatch, runners=[])
    harness.serve()
    for _ in range(7):
        harness.reactor.advance(0.02)
    assert [type(item) for item in harness.client_events] == [failures.Overloaded]


def test_admission_checks_refuse_in_order(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve(host="other")
    harness.serve(deadline_ms=0)
    harness.serve(headers=[(b"a", b"b\r\nc: d")])
    harness.has_lease = False
    harness.serve(host="other")
    harness.reactor.advance(2)
    harness.agent.draining = True
    harness.serve(started_ms=2000, deadline_ms=6000)
    harness.reactor.advance(2)
    harness.agent.attachments["last_call"] = True
    harness.serve()
    assert [type(item) for item in harness.client_events] == [
        failures.NoRoute,
        failures.Overloaded,
        failures.BadRequest,
        failures.Unavailable,
        failures.Unavailable,
        failures.Leaving,
    ]


def test_keyed_response_is_recorded_before_it_is_sent(monkeypatch):
    harness = make_harness(monkeypatch, kind="idempotent")
    harness.results[ResolveOperationKey] = Deferred()
    harness.serve(key="k")
    harness.accept_connection().dataReceived(response_bytes())
    assert (
        harness.operations[0] == ClaimOperationKey("h|k", "a1", 1000 + 6 * 500)
        and isinstance(harness.operations[1], ResolveOperationKey)
        and harness.client_events == []
    )
    harness.results[ResolveOperationKey].callback(Ok(AttemptEnded()))
    assert harness.client_events == OK
    harness.results[ClaimOperationKey] = KeyAnswered(harness.operations[1].answer)
    harness.serve(key="k", attempt="a2")
    assert harness.client_events == OK + OK and len(harness.reactor.tcpClients) == 1


def test_unrecorded_keyed_response_is_withheld(monkeypatch):
    harness = make_harness(monkeypatch, kind="idempotent")
    harness.results[ResolveOperationKey] = failures.Unavailable(100)
    harness.serve(key="k")
    harness.accept_connection().dataReceived(response_bytes())
    assert [type(item) for item in harness.client_events] == [failures.Unknown]
    assert [type(op) for op in harness.background_operations] == [ResolveOperationKey]


def test_keyed_request_fails_if_key_is_missing_in_progress_or_undecided(monkeypatch):
    harness = make_harness(monkeypatch, kind="idempotent")
    harness.serve()
    harness.results[ClaimOperationKey] = KeyInProgress()
    harness.serve(key="k")
    harness.results[ClaimOperationKey] = failures.Unavailable(100)
    harness.serve(key="k")
    assert [type(item) for item in harness.client_events] == [
        failures.BadRequest,
        failures.AtWork,
        failures.Unavailable,
    ]
    assert harness.background_operations == [ReleaseOperationKey("h|k", "a1")] and harness.reactor.tcpClients == []


def test_claim_is_released_only_if_nothing_was_executed(monkeypatch):
    harness = make_harness(monkeypatch, kind="idempotent", attempts=1)
    harness.serve(key="k")
    lose_connection(harness.accept_connection())
    assert [type(op) for op in harness.operations + harness.background_operations] == [ClaimOperationKey]
    harness.serve(key="k", attempt="a2")
    harness.accept_connection().dataReceived(REFUSAL.replace(b"a1", b"a2"))
    assert harness.operations[-1] == ReleaseOperationKey("h|k", "a2")
    assert [type(item) for item in harness.client_events] == [failures.Unknown, failures.Overloaded]


def test_serialized_answer_round_trips():
    answer = Answer(201, [(b"A", b"\xff")], b"\x00b")
    assert deserialize_answer(serialize_answer(answer)) == answer
