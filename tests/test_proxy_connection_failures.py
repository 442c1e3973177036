"""Troubles of a runner at each byte of a request and of its answer, for every kind of route.

The model runner begins to run a request once it has all of its bytes, unless it refuses it. Judged are the number of
runs, and that a client gets nothing but the whole answer of its own run, a cut answer, or a failure that is true.
"""

from collections import Counter

import pytest
from msgspec import Struct
from proxy_harness import HEAD, ProxyHarness, answer_bytes, chunk, make_route, make_runner
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from frostpost.program_ledger.messages import AttemptBegun, ReassignAttempt
from frostpost.proxy import exchange, exchange_state, failures, forwarding, outcomes, stream
from frostpost.proxy.attempts import Attempts
from frostpost.proxy.connection import Connection
from frostpost.proxy.load_balancing import load_of

ONE, TWO, THREE = (b"id: %d\ndata: %c\n\n" % (n, c) for n, c in ((1, b"a"), (2, b"b"), (3, b"c")))
RUNNERS = [make_runner("r1"), make_runner("r2"), make_runner("r3")]
PLAIN = answer_bytes()
STREAM = HEAD + chunk(ONE) + chunk(TWO) + chunk(THREE) + b"0\r\n\r\n"
REFUSAL = answer_bytes(b"no", status=b"503 Full", headers=b"Not-Run: 1\r\n")
MISDIRECTED = answer_bytes(b"", status=b"421 Other", headers=b"")
PROMISED = (failures.Overloaded, failures.Unavailable, failures.Leaving, failures.BudgetSpent, failures.UnknownTurn)
DEADLINE_S = 4.0


class Kind(Struct, frozen=True):
    """A kind of route. most_runs: how often one of its tries may run."""

    name: str
    route: dict
    most_runs: int = 1
    streams: bool = False

    @property
    def answer(self):
        return STREAM if self.streams else PLAIN


KINDS = [
    Kind("safe", {"kind": "safe", "attempts": 2}, 2),
    Kind("safe, one attempt", {"kind": "safe", "attempts": 1}),
    Kind("unsafe", {"kind": "unsafe", "attempts": 2}),
    Kind("idempotent", {"kind": "idempotent", "attempts": 2}),
    Kind("idempotent, own record", {"kind": "idempotent", "attempts": 2, "weights": (("t", 1),)}, 2),
    Kind("stream", {"kind": "streaming", "attempts": 2}, 1, True),
    Kind("stream, kept", {"kind": "streaming", "attempts": 2, "retained": True, "retention_ms": 9}, 1, True),
    Kind("stream, resumable", {"kind": "streaming", "attempts": 2, "resumable": True}, 2, True),
    Kind("stream, resumable, one attempt", {"kind": "streaming", "attempts": 1, "resumable": True}, 1, True),
]
EACH_KIND = pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)


class Played:
    """Tries on a stage whose runners are played by the test. runs: how often each of them ran."""

    def __init__(self, kind, patch):
        self.kind, self.runs = kind, Counter()
        service = dict(kind.route.get("weights", (("s", 1),))).popitem()[0]
        harness = self.harness = ProxyHarness([make_route(**kind.route)], [], patch)
        harness.agent.runners = {r.id: make_runner(r.id, service=service) for r in RUNNERS}
        harness.results[ReassignAttempt] = AttemptBegun("r2", ())
        for name in ("r2", "r3"):
            load_of(harness.agent, name).own_requests = 1
        self.clients = {}

    def ask(self, attempt):
        """Send a client's try; what its client gets is kept apart."""
        self.harness.client_events = self.clients[attempt] = []
        self.harness.serve(attempt=attempt, key="k" + attempt)

    def accept_connection(self):
        return self.harness.accept_connection()

    def waits(self):
        """Whether a connection was asked for that has not come up."""
        return len(self.harness.reactor.tcpClients) > len(self.harness.connections)

    def finish_elsewhere(self):
        """Let every further runner that it is sent to answer well."""
        while self.waits():
            connection = self.accept_connection()
            if connection.transport.value():
                self.serve_well(connection)

    def serve_well(self, connection):
        """Run the newest request on a connection and answer it, from the event after the one that it names."""
        request = connection.transport.value().split(b"POST ")[-1]
        attempt = request.split(b"Attempt: ")[1].split(b"\r\n")[0]
        self.runs[attempt.decode()] += 1
        answer = self.kind.answer.replace(b"Attempt: a1", b"Attempt: " + attempt)
        last = request.split(b"Last: ")[1].split(b"\r\n")[0]
        for event in (ONE, TWO, THREE)[: int(last or 0)]:
            answer = answer.replace(chunk(event), b"")
        connection.dataReceived(answer)

    def judge(self, attempt="a1"):
        """What the client of a try may have got, given how often it ran."""
        seen, runs = self.clients[attempt], self.runs[attempt]
        assert runs <= self.kind.most_runs, f"ran {runs} times"
        assert seen, "no answer"
        if not isinstance(seen[0], tuple):
            assert len(seen) == 1, seen
            if isinstance(seen[0], PROMISED):
                assert not runs or self.kind.most_runs > 1, (seen, runs)
            return
        body = b"".join(item[1] for item in seen if item[0] == "data")
        whole = ONE + TWO + THREE if self.kind.streams else b"out"
        assert seen[0] == ("head", 200) and seen[-1] in ("end", "cut"), seen
        assert (body == whole) if seen[-1] == "end" else whole.startswith(body), seen
        assert seen[-1] == "end" or self.kind.streams, seen
        assert runs, seen


def reset(played, connection):
    connection.connectionLost(Failure(ConnectionLost()))


def half_close(played, connection):
    connection.connectionLost(Failure(ConnectionDone()))


def silence(played, connection):
    played.harness.reactor.advance(DEADLINE_S + 0.1)


def noise(played, connection):
    connection.dataReceived(b"\x00what\r\n\r\n")
    played.harness.reactor.advance(DEADLINE_S + 0.1)


def foreign_answer(played, connection):
    connection.dataReceived(PLAIN.replace(b"a1", b"a0"))
    played.harness.reactor.advance(DEADLINE_S + 0.1)


STRIKES = [reset, half_close, silence, noise, foreign_answer]
EACH_STRIKE = pytest.mark.parametrize("strike", STRIKES, ids=lambda strike: strike.__name__)


@EACH_KIND
@pytest.mark.parametrize("strike", [reset, half_close, silence], ids=lambda strike: strike.__name__)
def test_a_strike_at_each_byte_of_the_request(monkeypatch, kind, strike):
    at, size = 0, 1
    while at <= size:
        played = Played(kind, monkeypatch)
        played.ask("a1")
        connection = played.accept_connection()
        size = len(connection.transport.value())
        played.runs["a1"] += at == size
        strike(played, connection)
        played.finish_elsewhere()
        played.judge()
        assert connection.unusable
        at += 1


@EACH_KIND
@EACH_STRIKE
def test_a_strike_at_each_byte_of_the_answer(monkeypatch, kind, strike):
    spoils = strike in (noise, foreign_answer)  # inside a body such bytes can't be told from the body's own
    for at in range(kind.answer.index(b"\r\n\r\n") if spoils else len(kind.answer)):
        played = Played(kind, monkeypatch)
        played.ask("a1")
        connection = played.accept_connection()
        played.runs["a1"] += 1
        connection.dataReceived(kind.answer[:at])
        strike(played, connection)
        played.finish_elsewhere()
        played.judge()
        assert connection.unusable


@EACH_KIND
@pytest.mark.parametrize("refusal", [REFUSAL, MISDIRECTED], ids=["refused", "misdirected"])
@EACH_STRIKE
def test_a_strike_at_each_byte_of_a_refusal(monkeypatch, kind, refusal, strike):
    for at in range(len(refusal) + 1):
        played = Played(kind, monkeypatch)
        played.ask("a1")
        connection = played.accept_connection()
        connection.dataReceived(refusal[:at])
        strike(played, connection)
        played.finish_elsewhere()
        played.judge()


@EACH_KIND
def test_a_whole_answer_stays_whole_whatever_comes_after_it(monkeypatch, kind):
    extra = kind.answer
    for at in range(1, len(extra) + 1):
        for apart in (False, True):
            played = Played(kind, monkeypatch)
            played.ask("a1")
            connection = played.accept_connection()
            played.runs["a1"] += 1
            connection.dataReceived(kind.answer + (b"" if apart else extra[:at]))
            if apart:
                connection.dataReceived(extra[:at])
            played.judge()
            assert played.clients["a1"][-1] == "end" and connection.unusable
            played.ask("b1")
            assert connection.transport.value().count(b"POST") == 1
            played.finish_elsewhere()
            played.judge("b1")


@EACH_KIND
def test_an_earlier_answer_on_a_connection_in_use_again_reaches_nobody(monkeypatch, kind):
    for late in (kind.answer, PLAIN, REFUSAL, MISDIRECTED, MISDIRECTED.replace(b"Attempt: a1\r\n", b""), b"x\r\n"):
        for at in range(1, len(late) + 1):
            played = Played(kind, monkeypatch)
            played.ask("a1")
            connection = played.accept_connection()
            connection.dataReceived(kind.answer)
            played.ask("b1")
            assert connection.transport.value().count(b"POST") == 2
            played.runs["b1"] = 1
            connection.dataReceived(late[:at])
            connection.dataReceived(late[at:] + kind.answer.replace(b"a1", b"b1"))
            played.finish_elsewhere()
            played.judge("b1")
            assert played.clients["a1"][-1] == "end" and connection.unusable


@EACH_KIND
@pytest.mark.parametrize("strike", [reset, half_close], ids=lambda strike: strike.__name__)
@pytest.mark.parametrize("written", [False, True])
def test_an_idle_connection_that_its_runner_drops(monkeypatch, kind, strike, written):
    played = Played(kind, monkeypatch)
    played.ask("a1")
    connection = played.accept_connection()
    connection.dataReceived(kind.answer)
    if not written:
        strike(played, connection)
    played.ask("b1")
    assert connection.transport.value().count(b"POST") == 1 + written
    if written:
        strike(played, connection)
    played.finish_elsewhere()
    played.judge("b1")
    assert written or played.clients["b1"][-1] == "end"
    if written and kind.most_runs == 1:
        assert [type(item) for item in played.clients["b1"]] == [failures.Unknown]


@EACH_KIND
def test_a_client_that_leaves_at_each_byte_of_the_answer_takes_nothing_with_it(monkeypatch, kind):
    for at in range(len(kind.answer)):
        played = Played(kind, monkeypatch)
        played.ask("a1")
        connection = played.accept_connection()
        connection.dataReceived(kind.answer[:at])
        before = list(played.clients["a1"])
        played.harness.disconnect_client()
        connection.dataReceived(kind.answer[at:])
        assert played.clients["a1"] == before or kind.route["kind"] == "idempotent"
        assert not played.waits()
        played.ask("b1")
        if connection.transport.value().count(b"POST") == 2:
            played.serve_well(connection)
        played.finish_elsewhere()
        played.judge("b1")


def one_runner_more(route, repeatable):
    return Attempts(route.attempts + 1, route.attempts + 1)


def reset_taken_for_refusal(call, state, heard):
    if isinstance(state, exchange_state.MaybeSent) and isinstance(heard, exchange_state.ConnectionFailed):
        return exchange_state.end_with(outcomes.NotRun(503), False)
    return exchange_state.step(call, state, heard)


def cut_taken_for_whole(call, state, heard):
    if isinstance(state, exchange_state.ReceivingBody) and isinstance(heard, exchange_state.ConnectionFailed):
        return exchange_state.end_with(outcomes.Whole(), True)
    return exchange_state.step(call, state, heard)


def requests_struck(patch):
    for kind in KINDS:
        test_a_strike_at_each_byte_of_the_request(patch, kind, reset)


def answers_struck(patch):
    for kind in KINDS:
        test_a_strike_at_each_byte_of_the_answer(patch, kind, reset)


def late_answers(patch):
    for kind in KINDS:
        test_an_earlier_answer_on_a_connection_in_use_again_reaches_nobody(patch, kind)


def surplus(patch):
    for kind in KINDS:
        test_a_whole_answer_stays_whole_whatever_comes_after_it(patch, kind)


PLANTS = {
    "one runner more": (
        [(forwarding, "attempts_for", one_runner_more), (stream, "attempts_for", one_runner_more)],
        requests_struck,
    ),
    "reset taken for a refusal": ([(exchange, "step", reset_taken_for_refusal)], requests_struck),
    "cut taken for whole": ([(exchange, "step", cut_taken_for_whole)], answers_struck),
    "any head is the call's own": ([(exchange_state, "rejection_reason", lambda head, call, fresh: "")], late_answers),
    "surplus bytes ignored": ([(Connection, "abort", lambda connection: None)], surplus),
}


@pytest.mark.parametrize("plant", sorted(PLANTS))
def test_a_planted_fault_is_caught(monkeypatch, plant):
    changes, check = PLANTS[plant]
    check(monkeypatch)
    for owner, name, fault in changes:
        monkeypatch.setattr(owner, name, fault)
    with pytest.raises(AssertionError):
        check(monkeypatch)
