"""Connection failures at each byte of a request and of its response, for every kind of route.

A simulated runner executes a request once it has received all of it. Checked are the number of executions and that the
client gets only a complete response, an aborted one or a truthful failure.
"""

from collections import Counter

import pytest
from msgspec import Struct
from proxy_harness import HEAD, ProxyHarness, chunk, make_route, make_runner, response_bytes
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from frostpost.program_ledger.messages import AttemptBegun, ReassignAttempt
from frostpost.proxy import exchange, exchange_state, failures, forwarding, outcomes, stream
from frostpost.proxy.attempts import Attempts
from frostpost.proxy.connection import Connection
from frostpost.proxy.load_balancing import load_of

ONE, TWO, THREE = (b"id: %d\ndata: %c\n\n" % (n, c) for n, c in ((1, b"a"), (2, b"b"), (3, b"c")))
RUNNERS = [make_runner("r1"), make_runner("r2"), make_runner("r3")]
PLAIN_RESPONSE = response_bytes()
STREAM_RESPONSE = HEAD + chunk(ONE) + chunk(TWO) + chunk(THREE) + b"0\r\n\r\n"
REFUSAL = response_bytes(b"no", status=b"503 Full", headers=b"Not-Run: 1\r\n")
MISDIRECTED = response_bytes(b"", status=b"421 Other", headers=b"")
NOT_EXECUTED = (failures.Overloaded, failures.Unavailable, failures.Leaving, failures.BudgetSpent, failures.UnknownTurn)
DEADLINE_S = 4.0


class Kind(Struct, frozen=True):
    """A kind of route. max_runs: how often one of its requests may be executed."""

    name: str
    route: dict
    max_runs: int = 1
    streams: bool = False

    @property
    def response(self):
        return STREAM_RESPONSE if self.streams else PLAIN_RESPONSE


KINDS = [
    Kind("safe", {"kind": "safe", "attempts": 2}, 2),
    Kind("safe, one attempt", {"kind": "safe", "attempts": 1}),
    Kind("unsafe", {"kind": "unsafe", "attempts": 2}),
    Kind("idempotent", {"kind": "idempotent", "attempts": 2}),
    Kind("idempotent, deduplicating service", {"kind": "idempotent", "attempts": 2, "weights": (("t", 1),)}, 2),
    Kind("stream", {"kind": "streaming", "attempts": 2}, 1, True),
    Kind("stream, retained", {"kind": "streaming", "attempts": 2, "retained": True, "retention_ms": 9}, 1, True),
    Kind("stream, resumable", {"kind": "streaming", "attempts": 2, "resumable": True}, 2, True),
    Kind("stream, resumable, one attempt", {"kind": "streaming", "attempts": 1, "resumable": True}, 1, True),
]
EACH_KIND = pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)


class Scenario:
    """Requests to simulated runners. runs: number of executions by attempt."""

    def __init__(self, kind, monkeypatch):
        self.kind, self.runs = kind, Counter()
        service = dict(kind.route.get("weights", (("s", 1),))).popitem()[0]
        harness = self.harness = ProxyHarness([make_route(**kind.route)], [], monkeypatch)
        harness.agent.runners = {r.id: make_runner(r.id, service=service) for r in RUNNERS}
        harness.results[ReassignAttempt] = AttemptBegun("r2", ())
        for name in ("r2", "r3"):
            load_of(harness.agent, name).own_requests = 1
        self.clients = {}

    def send(self, attempt):
        """Send a client request and record its events separately."""
        self.harness.client_events = self.clients[attempt] = []
        self.harness.serve(attempt=attempt, key="k" + attempt)

    def accept_connection(self):
        return self.harness.accept_connection()

    def has_pending_connection(self):
        """Return whether a requested connection has not been accepted yet."""
        return len(self.harness.reactor.tcpClients) > len(self.harness.connections)

    def respond_on_other_runners(self):
        """Respond to the request on every further runner it is sent to."""
        while self.has_pending_connection():
            connection = self.accept_connection()
            if connection.transport.value():
                self.respond(connection)

    def respond(self, connection):
        """Execute the newest request on a connection and respond, resuming after the event id it names."""
        request = connection.transport.value().split(b"POST ")[-1]
        attempt = request.split(b"Attempt: ")[1].split(b"\r\n")[0]
        self.runs[attempt.decode()] += 1
        response = self.kind.response.replace(b"Attempt: a1", b"Attempt: " + attempt)
        last_event_id = request.split(b"Last: ")[1].split(b"\r\n")[0]
        for event in (ONE, TWO, THREE)[: int(last_event_id or 0)]:
            response = response.replace(chunk(event), b"")
        connection.dataReceived(response)

    def check(self, attempt="a1"):
        """Check the events of a client against the number of executions."""
        events, runs = self.clients[attempt], self.runs[attempt]
        assert runs <= self.kind.max_runs, f"ran {runs} times"
        assert events, "no answer"
        if not isinstance(events[0], tuple):
            assert len(events) == 1, events
            if isinstance(events[0], NOT_EXECUTED):
                assert not runs or self.kind.max_runs > 1, (events, runs)
            return
        body = b"".join(item[1] for item in events if item[0] == "data")
        expected = ONE + TWO + THREE if self.kind.streams else b"out"
        assert events[0] == ("head", 200) and events[-1] in ("end", "cut"), events
        assert (body == expected) if events[-1] == "end" else expected.startswith(body), events
        assert events[-1] == "end" or self.kind.streams, events
        assert runs, events


def reset(scenario, connection):
    connection.connectionLost(Failure(ConnectionLost()))


def clean_close(scenario, connection):
    connection.connectionLost(Failure(ConnectionDone()))


def silence(scenario, connection):
    scenario.harness.reactor.advance(DEADLINE_S + 0.1)


def malformed_response(scenario, connection):
    connection.dataReceived(b"\x00what\r\n\r\n")
    scenario.harness.reactor.advance(DEADLINE_S + 0.1)


def response_of_another_request(scenario, connection):
    connection.dataReceived(PLAIN_RESPONSE.replace(b"a1", b"a0"))
    scenario.harness.reactor.advance(DEADLINE_S + 0.1)


DISRUPTIONS = [reset, clean_close, silence, malformed_response, response_of_another_request]
EACH_DISRUPTION = pytest.mark.parametrize("disruption", DISRUPTIONS, ids=lambda disruption: disruption.__name__)


@EACH_KIND
@pytest.mark.parametrize("disruption", [reset, clean_close, silence], ids=lambda disruption: disruption.__name__)
def test_disruption_at_each_byte_of_the_request(monkeypatch, kind, disruption):
    offset, size = 0, 1
    while offset <= size:
        scenario = Scenario(kind, monkeypatch)
        scenario.send("a1")
        connection = scenario.accept_connection()
        size = len(connection.transport.value())
        scenario.runs["a1"] += offset == size
        disruption(scenario, connection)
        scenario.respond_on_other_runners()
        scenario.check()
        assert connection.unusable
        offset += 1


@EACH_KIND
@EACH_DISRUPTION
def test_disruption_at_each_byte_of_the_response(monkeypatch, kind, disruption):
    # Inside a body, such bytes can't be told from the body's own.
    before_body = disruption in (malformed_response, response_of_another_request)
    for offset in range(kind.response.index(b"\r\n\r\n") if before_body else len(kind.response)):
        scenario = Scenario(kind, monkeypatch)
        scenario.send("a1")
        connection = scenario.accept_connection()
        scenario.runs["a1"] += 1
        connection.dataReceived(kind.response[:offset])
        disruption(scenario, connection)
        scenario.respond_on_other_runners()
        scenario.check()
        assert connection.unusable


@EACH_KIND
@pytest.mark.parametrize("refusal", [REFUSAL, MISDIRECTED], ids=["refused", "misdirected"])
@EACH_DISRUPTION
def test_disruption_at_each_byte_of_a_refusal(monkeypatch, kind, refusal, disruption):
    for offset in range(len(refusal) + 1):
        scenario = Scenario(kind, monkeypatch)
        scenario.send("a1")
        connection = scenario.accept_connection()
        connection.dataReceived(refusal[:offset])
        disruption(scenario, connection)
        scenario.respond_on_other_runners()
        scenario.check()


@EACH_KIND
def test_surplus_bytes_do_not_affect_a_complete_response(monkeypatch, kind):
    surplus = kind.response
    for offset in range(1, len(surplus) + 1):
        for separately in (False, True):
            scenario = Scenario(kind, monkeypatch)
            scenario.send("a1")
            connection = scenario.accept_connection()
            scenario.runs["a1"] += 1
            connection.dataReceived(kind.response + (b"" if separately else surplus[:offset]))
            if separately:
                connection.dataReceived(surplus[:offset])
            scenario.check()
            assert scenario.clients["a1"][-1] == "end" and connection.unusable
            scenario.send("b1")
            assert connection.transport.value().count(b"POST") == 1
            scenario.respond_on_other_runners()
            scenario.check("b1")


@EACH_KIND
def test_late_response_on_a_reused_connection_is_discarded(monkeypatch, kind):
    for late_response in (
        kind.response,
        PLAIN_RESPONSE,
        REFUSAL,
        MISDIRECTED,
        MISDIRECTED.replace(b"Attempt: a1\r\n", b""),
        b"x\r\n",
    ):
        for offset in range(1, len(late_response) + 1):
            scenario = Scenario(kind, monkeypatch)
            scenario.send("a1")
            connection = scenario.accept_connection()
            connection.dataReceived(kind.response)
            scenario.send("b1")
            assert connection.transport.value().count(b"POST") == 2
            scenario.runs["b1"] = 1
            connection.dataReceived(late_response[:offset])
            connection.dataReceived(late_response[offset:] + kind.response.replace(b"a1", b"b1"))
            scenario.respond_on_other_runners()
            scenario.check("b1")
            assert scenario.clients["a1"][-1] == "end" and connection.unusable


@EACH_KIND
@pytest.mark.parametrize("disruption", [reset, clean_close], ids=lambda disruption: disruption.__name__)
@pytest.mark.parametrize("written", [False, True])
def test_idle_connection_closed_by_the_runner(monkeypatch, kind, disruption, written):
    scenario = Scenario(kind, monkeypatch)
    scenario.send("a1")
    connection = scenario.accept_connection()
    connection.dataReceived(kind.response)
    if not written:
        disruption(scenario, connection)
    scenario.send("b1")
    assert connection.transport.value().count(b"POST") == 1 + written
    if written:
        disruption(scenario, connection)
    scenario.respond_on_other_runners()
    scenario.check("b1")
    assert written or scenario.clients["b1"][-1] == "end"
    if written and kind.max_runs == 1:
        assert [type(item) for item in scenario.clients["b1"]] == [failures.Unknown]


@EACH_KIND
def test_client_disconnect_at_each_byte_of_the_response(monkeypatch, kind):
    for offset in range(len(kind.response)):
        scenario = Scenario(kind, monkeypatch)
        scenario.send("a1")
        connection = scenario.accept_connection()
        connection.dataReceived(kind.response[:offset])
        events_before = list(scenario.clients["a1"])
        scenario.harness.disconnect_client()
        connection.dataReceived(kind.response[offset:])
        assert scenario.clients["a1"] == events_before or kind.route["kind"] == "idempotent"
        assert not scenario.has_pending_connection()
        scenario.send("b1")
        if connection.transport.value().count(b"POST") == 2:
            scenario.respond(connection)
        scenario.respond_on_other_runners()
        scenario.check("b1")


def one_extra_attempt(route, repeatable):
    return Attempts(route.attempts + 1, route.attempts + 1)


def reset_as_refusal(call, state, event):
    if isinstance(state, exchange_state.MaybeSent) and isinstance(event, exchange_state.ConnectionFailed):
        return exchange_state.end_with(outcomes.NotRun(503), False)
    return exchange_state.step(call, state, event)


def truncation_as_completion(call, state, event):
    if isinstance(state, exchange_state.ReceivingBody) and isinstance(event, exchange_state.ConnectionFailed):
        return exchange_state.end_with(outcomes.Whole(), True)
    return exchange_state.step(call, state, event)


def check_disrupted_requests(monkeypatch):
    for kind in KINDS:
        test_disruption_at_each_byte_of_the_request(monkeypatch, kind, reset)


def check_disrupted_responses(monkeypatch):
    for kind in KINDS:
        test_disruption_at_each_byte_of_the_response(monkeypatch, kind, reset)


def check_late_responses(monkeypatch):
    for kind in KINDS:
        test_late_response_on_a_reused_connection_is_discarded(monkeypatch, kind)


def check_surplus_bytes(monkeypatch):
    for kind in KINDS:
        test_surplus_bytes_do_not_affect_a_complete_response(monkeypatch, kind)


MUTATIONS = {
    "one extra attempt": (
        [(forwarding, "attempts_for", one_extra_attempt), (stream, "attempts_for", one_extra_attempt)],
        check_disrupted_requests,
    ),
    "reset treated as refusal": ([(exchange, "step", reset_as_refusal)], check_disrupted_requests),
    "truncation treated as completion": ([(exchange, "step", truncation_as_completion)], check_disrupted_responses),
    "every head accepted": (
        [(exchange_state, "rejection_reason", lambda head, call, fresh: "")],
        check_late_responses,
    ),
    "surplus bytes ignored": ([(Connection, "abort", lambda connection: None)], check_surplus_bytes),
}


@pytest.mark.parametrize("mutation", sorted(MUTATIONS))
def test_mutation_is_detected(monkeypatch, mutation):
    patches, check = MUTATIONS[mutation]
    check(monkeypatch)
    for owner, name, replacement in patches:
        monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError):
        check(monkeypatch)
