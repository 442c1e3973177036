"""Tests for edge daemons that pause or lose the network between a check and the action it allowed.

The delayed action must not start a second run, nor resolve a key or end a turn that the daemon no longer owns.
"""

from collections import defaultdict

import pytest
from fleet_simulator import judge, stage
from fleet_simulator.crowd import MOST_TOKENS
from twisted.internet.defer import Deferred

from frostpost.cluster import lease_client, operation_client
from frostpost.program_ledger.key_messages import ClaimOperationKey, ResolveOperationKey
from frostpost.program_ledger.messages import BeginAttempt, EndAttempt
from frostpost.proxy import pool
from frostpost.proxy.exchange import Exchange
from frostpost.proxy.wait_policy import MAX_OUTAGE_LEASES, WAIT_RATIO

LEASE_LOST_MS, LONG_PAUSE_MS = 1500, 6000
KEYED, UNSAFE, SAFE, TURN = "/keyed/c", "/unsafe/b", "/safe/a", "/chat/x"
REQUEST_OPTIONS = {KEYED: {"key": "k1", "body": b"once"}, TURN: {"most": MOST_TOKENS, "budget": 9 * MOST_TOKENS}}


class Scenario:
    """A simulated fleet in which one edge daemon is paused once, with clients of it and of other daemons."""

    def __init__(self, seed=5):
        self.world, _, status, took_ms = stage.open_(seed)
        assert status == 200 and took_ms >= 0
        self.crowd = stage.crowd_of(self.world, "c")
        self.crowd.random.random = lambda: 0.9  # clients neither disconnect early nor reuse connections
        self.edge = next(d for d in self.world.of("edge") if d.zone == "z0")
        self.paused_ms, self.resumed_ms = [], []

    def run(self, wait_ms):
        self.world.run(self.world.now_ms() + wait_ms)

    def pause_before(self, monkeypatch, owner, name, condition, pause_ms, resume_before_input=True, partition=False):
        """Freeze the edge before its first call of a function that meets the condition; make the call after `pause_ms`.

        resume_before_input: make the call before processing the input that arrived meanwhile. partition: also drop all
        traffic from and to the edge during the pause.
        """
        original, host = getattr(owner, name), self.edge.host

        def call_or_pause(*args):
            if self.paused_ms or not condition(*args):
                return original(*args)
            self.paused_ms.append(self.world.now_ms())
            host.freeze()
            if partition:
                self.partition(True)
            deferred = Deferred()
            self.world.later(pause_ms, resume, args, deferred)
            return deferred

        def resume(args, deferred):
            if partition:
                self.partition(False)
            if not resume_before_input:
                host.thaw()
            self.resumed_ms.append(self.world.now_ms())
            result = original(*args)
            if isinstance(result, Deferred):
                result.chainDeferred(deferred)
            host.thaw()

        monkeypatch.setattr(owner, name, call_or_pause)

    def partition(self, enabled):
        edge_address = self.edge.host.address
        for daemon in self.world.of("storage", "core", "edge"):
            for pair in ((edge_address, daemon.host.address), (daemon.host.address, edge_address)):
                (self.world.net.cuts.add if enabled else self.world.net.cuts.discard)(pair)

    def is_paused_edge(self, agent):
        return agent is self.edge.owner

    def writes_request(self, path):
        """Return a condition for exchanges of the edge whose path starts with `path`."""
        return lambda exchange, _: self.is_paused_edge(exchange.agent) and exchange.call.uri.decode().startswith(path)

    def submits_operation(self, kind):
        """Return a condition for operations of type `kind` submitted by the edge."""
        return lambda agent, operation, *_: self.is_paused_edge(agent) and isinstance(operation, kind)

    def send_request(self, path, zone="z0", **options):
        """Send one request of a client and return it."""
        request = self.crowd.make(path, "p", **options)
        self.crowd.once(zone, request, True)
        return request

    def send_repeatedly(self, path, every_ms, times, **options):
        """Send further requests to daemons in another zone at a fixed interval."""
        for number in range(times):
            self.world.later(every_ms * (number + 1), lambda: self.send_request(path, "z1", **options))

    def runs(self, request=None, key=None):
        runs = self.world.notes.runs
        return [r for r in runs if (request is None or r.try_id == request.try_id) and (key is None or r.key == key)]

    def violations(self):
        tries, runs_of = {t.try_id: t for t in self.world.notes.tries}, defaultdict(list)
        for run in self.world.notes.runs:
            runs_of[run.try_id].append(run)
        violations = [
            *judge.duplicate_executions(self.world, runs_of, tries),
            *judge.executions_after_refusal(runs_of, tries),
            *judge.mismatched_responses(self.world, runs_of, tries),
            *judge.budget_overruns(tries),
            *judge.unsolicited_executions(self.world, tries),
            *judge.lost_sessions(self.world, tries),
        ]
        assert not self.edge.host.tracebacks
        return [f"{b.rule} {b.text}" for b in violations]


EACH_PAUSE = pytest.mark.parametrize("pause_ms", [300, LEASE_LOST_MS, LONG_PAUSE_MS])
EACH_ORDER = pytest.mark.parametrize("resume_before_input", [True, False], ids=["call first", "input first"])
EACH_PARTITION = pytest.mark.parametrize("partition", [False, True], ids=["paused", "paused and partitioned"])


@EACH_PAUSE
@EACH_ORDER
@EACH_PARTITION
@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED])
def test_request_written_after_a_pause_runs_at_most_once(monkeypatch, path, pause_ms, resume_before_input, partition):
    scenario = Scenario()
    scenario.pause_before(
        monkeypatch, Exchange, "write_to", scenario.writes_request(path), pause_ms, resume_before_input, partition
    )
    options = REQUEST_OPTIONS.get(path, {})
    request = scenario.send_request(path, **options)
    scenario.run(100)
    assert scenario.paused_ms
    scenario.send_repeatedly(path, 250, 20, **options)
    scenario.run(pause_ms + 8000)
    assert scenario.resumed_ms and scenario.violations() == []
    assert len(scenario.runs(request)) <= 1 and (path != KEYED or len(scenario.runs(key="k1")) <= 1)


@EACH_PAUSE
@EACH_ORDER
@pytest.mark.parametrize("kind", [ClaimOperationKey, ResolveOperationKey])
def test_key_is_run_and_resolved_once_although_its_daemon_paused(monkeypatch, kind, pause_ms, resume_before_input):
    scenario = Scenario()
    scenario.pause_before(
        monkeypatch, operation_client, "submit", scenario.submits_operation(kind), pause_ms, resume_before_input
    )
    scenario.send_request(KEYED, **REQUEST_OPTIONS[KEYED])
    scenario.run(300)
    assert scenario.paused_ms
    scenario.send_repeatedly(KEYED, 250, 27, **REQUEST_OPTIONS[KEYED])
    scenario.run(LONG_PAUSE_MS + 4000)
    assert scenario.resumed_ms and scenario.violations() == [] and len(scenario.runs(key="k1")) == 1
    seals = {t.seal for t in scenario.world.notes.tries if t.whole and t.status == 200}
    assert len(seals) == 1


@EACH_PAUSE
@EACH_ORDER
@pytest.mark.parametrize("kind", [BeginAttempt, EndAttempt])
def test_turn_is_begun_and_ended_only_by_its_own_attempt(monkeypatch, kind, pause_ms, resume_before_input):
    scenario = Scenario()
    results = []
    scenario.crowd.turn("z1", "p", 20 * MOST_TOKENS, "").addCallback(results.append)
    scenario.run(3000)
    previous = results[0].try_id
    scenario.pause_before(
        monkeypatch, operation_client, "submit", scenario.submits_operation(kind), pause_ms, resume_before_input
    )
    turn = {"previous": previous, "budget": 4 * MOST_TOKENS, "most": MOST_TOKENS}
    request = scenario.send_request(TURN, **turn)
    scenario.run(1000)
    assert scenario.paused_ms
    scenario.send_repeatedly(TURN, 400, 10, **turn)
    scenario.run(pause_ms + 9000)
    assert scenario.resumed_ms and scenario.violations() == [] and len(scenario.runs(request)) <= 1
    other_turns = [t for t in scenario.world.notes.tries if t.previous == previous and t is not request]
    assert any(t.whole and t.status == 200 for t in other_turns)


@pytest.mark.parametrize("pause_ms", [LEASE_LOST_MS, LONG_PAUSE_MS])
@EACH_ORDER
@EACH_PARTITION
@pytest.mark.parametrize("path", [KEYED, TURN])
def test_decision_received_after_the_lease_expired_starts_no_run(
    monkeypatch, path, pause_ms, resume_before_input, partition
):
    scenario = Scenario()
    scenario.pause_before(
        monkeypatch,
        operation_client,
        "on_operation_reply",
        lambda agent, _: scenario.is_paused_edge(agent),
        pause_ms,
        resume_before_input,
        partition,
    )
    request = scenario.send_request(path, **REQUEST_OPTIONS[path])
    request.left_ms = 20000
    scenario.run(pause_ms + 100)
    assert scenario.paused_ms and scenario.resumed_ms
    scenario.run(8000)
    assert scenario.runs(request) == [] and scenario.violations() == []
    assert request.status in (0, 503) and request.ended_ms > 0


@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED, TURN])
def test_request_without_lease_waits_for_its_share_of_the_deadline_and_is_refused(path):
    scenario = Scenario()
    scenario.partition(True)
    scenario.run(LEASE_LOST_MS)
    request = scenario.send_request(path, **REQUEST_OPTIONS.get(path, {}))
    scenario.run(int(request.left_ms * WAIT_RATIO) - 200)
    assert not request.whole and scenario.runs(request) == []
    scenario.run(400)
    assert request.whole and request.status == 503 and request.retry_ms > 0 and scenario.runs(request) == []


@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED, TURN])
def test_request_long_after_the_lease_expired_is_refused_at_once(path):
    scenario = Scenario()
    scenario.partition(True)
    scenario.run(LEASE_LOST_MS + (MAX_OUTAGE_LEASES + 1) * 1200)
    request = scenario.send_request(path, **REQUEST_OPTIONS.get(path, {}))
    scenario.run(100)
    assert request.whole and request.status == 503 and request.retry_ms > 0 and scenario.runs(request) == []


@pytest.mark.parametrize("path", [SAFE, UNSAFE, KEYED, TURN])
def test_request_in_flight_when_the_lease_expires_gets_a_truthful_response(path):
    for wait_ms in range(0, 60, 5):
        scenario = Scenario()
        scenario.run(50)
        request = scenario.send_request(path, **REQUEST_OPTIONS.get(path, {}))
        scenario.run(wait_ms)
        scenario.partition(True)
        scenario.run(9000)
        assert request.ended_ms > 0 and scenario.violations() == []


def test_daemon_that_ignores_its_lease_runs_the_late_request(monkeypatch):
    scenario = Scenario()
    for owner in (pool, operation_client, lease_client):
        monkeypatch.setattr(owner, "holds_lease", lambda agent: True)
    scenario.pause_before(
        monkeypatch,
        operation_client,
        "on_operation_reply",
        lambda agent, _: scenario.is_paused_edge(agent),
        LEASE_LOST_MS,
    )
    request = scenario.send_request(KEYED, **REQUEST_OPTIONS[KEYED])
    request.left_ms = 20000
    scenario.run(LEASE_LOST_MS + 8000)
    assert len(scenario.runs(request)) == 1
