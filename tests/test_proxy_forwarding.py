import pytest
from expression import Ok
from proxy_harness import Stage, a_route, a_runner, answer_bytes
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from frostpost.program_ledger.messages import (
    AttemptEnded,
    ClaimOperationKey,
    KeyAnswered,
    KeyInProgress,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.proxy import failures, runner_discovery
from frostpost.proxy.idempotency import deserialize_answer, serialize_answer
from frostpost.proxy.outcomes import Answer

OK = [("head", 200), ("data", b"out"), "end"]
RUNNERS = [a_runner("r1"), a_runner("r2")]
REFUSED = answer_bytes(b"", status=b"503 Full", more=b"Not-Run: 1\r\n")


def stage(monkeypatch, kind="unsafe", runners=RUNNERS, **more):
    return Stage([a_route(kind=kind, **more)], runners, monkeypatch)


def lose(wire):
    wire.connectionLost(Failure(ConnectionRefusedError()))


def test_an_answer_comes_back_whole_and_the_connection_is_used_again(monkeypatch):
    s = stage(monkeypatch, runners=RUNNERS[:1])
    s.serve(headers=[(b"X-Case", b"v")])
    wire = s.connect()
    request = wire.transport.value()
    assert request.startswith(b"POST /a/x?y HTTP/1.1\r\nHost: h\r\nX-Case: v\r\n")
    assert request.endswith(b"Content-Length: 2\r\n\r\nin")
    wire.dataReceived(answer_bytes()[:-1])
    assert s.seen == []
    wire.dataReceived(answer_bytes()[-1:])
    assert s.seen == OK
    s.serve()
    assert len(s.reactor.tcpClients) == 1 and wire.transport.value().count(b"POST") == 2


@pytest.mark.parametrize(
    "data",
    [
        answer_bytes(attempt=b"a0"),
        answer_bytes(more=b""),
        answer_bytes(more=b"Seal: x\r\nContent-Encoding: gzip\r\n"),
        answer_bytes(status=b"503 Full", more=b""),
        b"nonsense\r\n\r\n",
        answer_bytes(attempt=b"a0", status=b"503 Full", more=b"Not-Run: 1\r\n"),
    ],
)
def test_what_is_not_the_runners_own_answer_is_dropped_and_unknown(monkeypatch, data):
    s = stage(monkeypatch)
    s.serve()
    wire = s.connect()
    wire.dataReceived(data)
    assert [type(x) for x in s.seen] == [failures.Unknown]
    assert wire.unusable and len(s.reactor.tcpClients) == 1


def test_a_cut_answer_of_an_unsafe_request_is_unknown_and_never_sent_again(monkeypatch):
    s = stage(monkeypatch)
    s.serve()
    wire = s.connect()
    wire.dataReceived(answer_bytes(length=9))
    lose(wire)
    assert [type(x) for x in s.seen] == [failures.Unknown] and len(s.reactor.tcpClients) == 1


@pytest.mark.parametrize("surplus_at_once", [True, False])
def test_a_connection_with_surplus_bytes_is_never_used_again(monkeypatch, surplus_at_once):
    s = stage(monkeypatch, runners=RUNNERS[:1])
    s.serve()
    wire = s.connect()
    wire.dataReceived(answer_bytes() + (b"more" if surplus_at_once else b""))
    if not surplus_at_once:
        wire.dataReceived(answer_bytes())
    assert s.seen == OK and wire.unusable
    s.serve()
    assert len(s.reactor.tcpClients) == 2


def test_a_safe_request_is_tried_again_after_a_broken_answer(monkeypatch):
    s = stage(monkeypatch, kind="safe")
    s.serve()
    lose(s.connect())
    s.connect().dataReceived(answer_bytes())
    assert s.seen == OK


@pytest.mark.parametrize("refusal", [REFUSED, answer_bytes(b"", status=b"421 Other", more=b"")])
def test_what_was_surely_not_run_goes_to_another_runner_then_is_a_promise(monkeypatch, refusal):
    s = stage(monkeypatch)
    s.serve()
    s.connect().dataReceived(refusal)
    assert s.seen == [] and len(s.reactor.tcpClients) == 2
    s.connect().dataReceived(refusal)
    assert [type(x) for x in s.seen] == [failures.Overloaded]
    assert len({client[1] for client in s.reactor.tcpClients}) == 2


def test_a_failed_connection_is_no_send(monkeypatch):
    s = stage(monkeypatch, attempts=1)
    s.serve()
    s.refuse_connection(Failure(ConnectionRefusedError()))
    s.connect().dataReceived(answer_bytes())
    assert s.seen == OK


@pytest.mark.parametrize("change", ["lease", "gone", "draining"])
def test_nothing_is_written_once_it_may_not_be(monkeypatch, change):
    s = stage(monkeypatch, runners=RUNNERS[:1])
    s.serve()
    if change == "lease":
        s.lease = False
    else:
        runner_discovery.apply_list(s.agent, [] if change == "gone" else [a_runner("r1", draining=True)])
    wire = s.connect()
    s.reactor.advance(1)
    assert wire.transport.value() == b""
    assert type(s.seen[0]) is (failures.Unavailable if change == "lease" else failures.Overloaded)


def test_silence_ends_at_the_deadline_without_a_promise(monkeypatch):
    s = stage(monkeypatch)
    s.serve()
    s.connect()
    s.reactor.advance(3.9)
    assert s.seen == []
    s.reactor.advance(0.2)
    assert s.seen == [failures.TimedOut()]


def test_without_any_room_it_is_refused_within_a_quarter_of_its_aim(monkeypatch):
    s = stage(monkeypatch, runners=[])
    s.serve()
    for _ in range(7):
        s.reactor.advance(0.02)
    assert [type(x) for x in s.seen] == [failures.Overloaded]


def test_filters_refuse_in_order(monkeypatch):
    s = stage(monkeypatch)
    s.serve(host="other")
    s.serve(deadline_ms=0)
    s.serve(headers=[(b"a", b"b\r\nc: d")])
    s.lease = False
    s.serve(host="other")
    s.reactor.advance(2)
    s.agent.leaving = True
    s.serve(started_ms=2000, deadline_ms=6000)
    s.reactor.advance(2)
    s.agent.extras["last_call"] = True
    s.serve()
    assert [type(x) for x in s.seen] == [
        failures.NoRoute,
        failures.Overloaded,
        failures.BadRequest,
        failures.Unavailable,
        failures.Unavailable,
        failures.Leaving,
    ]


def test_a_keyed_answer_is_resolved_before_the_client_gets_it(monkeypatch):
    s = stage(monkeypatch, kind="idempotent")
    s.verdicts[ResolveOperationKey] = Deferred()
    s.serve(key="k")
    s.connect().dataReceived(answer_bytes())
    assert (
        s.asked[0] == ClaimOperationKey("h|k", "a1", 1000 + 6 * 500)
        and isinstance(s.asked[1], ResolveOperationKey)
        and s.seen == []
    )
    s.verdicts[ResolveOperationKey].callback(Ok(AttemptEnded()))
    assert s.seen == OK
    s.verdicts[ClaimOperationKey] = KeyAnswered(s.asked[1].answer)
    s.serve(key="k", attempt="a2")
    assert s.seen == OK + OK and len(s.reactor.tcpClients) == 1


def test_a_keyed_answer_that_is_not_resolved_is_not_handed_over(monkeypatch):
    s = stage(monkeypatch, kind="idempotent")
    s.verdicts[ResolveOperationKey] = failures.Unavailable(100)
    s.serve(key="k")
    s.connect().dataReceived(answer_bytes())
    assert [type(x) for x in s.seen] == [failures.Unknown]
    assert [type(op) for op in s.told] == [ResolveOperationKey]


def test_keys_at_work_without_order_or_missing(monkeypatch):
    s = stage(monkeypatch, kind="idempotent")
    s.serve()
    s.verdicts[ClaimOperationKey] = KeyInProgress()
    s.serve(key="k")
    s.verdicts[ClaimOperationKey] = failures.Unavailable(100)
    s.serve(key="k")
    assert [type(x) for x in s.seen] == [failures.BadRequest, failures.AtWork, failures.Unavailable]
    assert s.told == [ReleaseOperationKey("h|k", "a1")] and s.reactor.tcpClients == []


def test_a_key_is_disclaimed_only_when_nothing_ran(monkeypatch):
    s = stage(monkeypatch, kind="idempotent", attempts=1)
    s.serve(key="k")
    lose(s.connect())
    assert [type(op) for op in s.asked + s.told] == [ClaimOperationKey]
    s.serve(key="k", attempt="a2")
    s.connect().dataReceived(REFUSED.replace(b"a1", b"a2"))
    assert s.asked[-1] == ReleaseOperationKey("h|k", "a2")
    assert [type(x) for x in s.seen] == [failures.Unknown, failures.Overloaded]


def test_packed_answers_come_back_byte_for_byte():
    whole = Answer(201, [(b"A", b"\xff")], b"\x00b")
    assert deserialize_answer(serialize_answer(whole)) == whole
