"""Tests of the number of attempts offered to the ledger for a runner."""

from hypothesis import given
from hypothesis import strategies as st
from proxy_harness import HEAD, ProxyHarness, chunk, make_route, make_runner

from frostpost.program_ledger.messages import BeginAttempt, Candidate
from frostpost.proxy.slot_overhead import SlotOverhead, countable_slots, observe_decision, observe_run, overhead_of

TIMES = st.floats(0, 1e5)


def test_no_extra_slots_before_the_first_measurement():
    assert countable_slots(SlotOverhead(decision_ms=50), 8) == 8


def test_extra_slots_compensate_for_decision_time():
    assert countable_slots(SlotOverhead(decision_ms=20, run_ms=120), 8) == 8 + 2


@given(TIMES, TIMES, st.integers(1, 100))
def test_countable_slots_are_bounded(decision_ms, run_ms, slots):
    assert slots <= countable_slots(SlotOverhead(decision_ms, run_ms), slots) <= 2 * slots


@given(st.lists(st.floats(0, 1000), min_size=1))
def test_averages_stay_within_the_range_of_samples(values):
    overhead = SlotOverhead()
    for value in values:
        observe_run(overhead, value)
        observe_decision(overhead, value)
    low, high = max(1, min(values)), max(1, max(values))
    assert low - 1e-6 <= overhead.run_ms <= high + 1e-6 and overhead.run_ms == overhead.decision_ms


def test_streams_are_measured_and_extra_slots_offered(monkeypatch):
    harness = ProxyHarness([make_route(kind="streaming")], [make_runner("r1", slots=8)], monkeypatch)
    harness.serve(program="g", budget=9, max_output_tokens=5)
    connection = harness.accept_connection()
    harness.reactor.advance(0.1)
    connection.dataReceived(HEAD + chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")
    overhead = overhead_of(harness.agent, "s")
    assert overhead.run_ms == 100 and overhead.decision_ms == 1
    overhead.decision_ms = 50
    harness.serve(attempt="a2", program="g", budget=9, max_output_tokens=5)
    assert [op.candidates for op in harness.operations if isinstance(op, BeginAttempt)] == [
        (Candidate("r1", 8),),
        (Candidate("r1", 14),),
    ]
