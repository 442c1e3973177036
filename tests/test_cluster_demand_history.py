"""Demand over the last seconds: differences of counters, lost and late reports, restarts, gaps and cut off agents."""

from hypothesis import given
from hypothesis import strategies as st

from frostpost.cluster import demand_history
from frostpost.cluster.demand_history import FRESH_MS, SUSTAINED_MS, ServiceHistory
from frostpost.virtual_synchrony.task_messages import ServiceDemand

PERIOD_MS = 6000


def report(history, busy_ms, measured_ms, received_ms=None, agent="e1"):
    received_ms = measured_ms if received_ms is None else received_ms
    demand_history.record_report(history, agent, ServiceDemand("s", busy_ms, measured_ms), received_ms)


def record_total(history, now_ms, is_complete=True, waiting=0):
    demand_history.record_total(history, now_ms, waiting, is_complete, PERIOD_MS)


def busy_slots(history, agent="e1"):
    return history.samples[agent].busy_slots


def play(seconds, slots, history=None, start_s=0, is_complete=True):
    history = history or ServiceHistory()
    for second in range(start_s, start_s + seconds):
        report(history, second * slots * 1000, second * 1000)
        record_total(history, second * 1000, is_complete)
    return history


def test_demand_is_the_difference_of_two_reports():
    history = ServiceHistory()
    report(history, 5000, 1000)
    assert busy_slots(history) is None
    report(history, 9000, 2000)
    assert busy_slots(history) == 4.0


def test_lost_report_does_no_harm():
    history = ServiceHistory()
    report(history, 0, 1000)
    report(history, 6000, 4000)
    assert busy_slots(history) == 2.0


def test_last_report_seen_again_changes_nothing():
    history = ServiceHistory()
    report(history, 0, 1000)
    report(history, 3000, 2000)
    report(history, 3000, 2000, received_ms=9000)
    assert history.samples["e1"].received_ms == 2000


def test_report_right_after_another_is_left_to_the_next_one():
    history = ServiceHistory()
    report(history, 0, 1000)
    report(history, 3000, 2000)
    report(history, 3900, 2010)
    assert busy_slots(history) == 3.0
    report(history, 4000, 3000)
    assert busy_slots(history) == 1.0


def test_restart_of_an_agent_begins_anew():
    history = ServiceHistory()
    report(history, 8000, 1000)
    report(history, 9000, 2000)
    report(history, 10, 3000)
    assert busy_slots(history) is None
    report(history, 1010, 4000)
    assert busy_slots(history) == 1.0


def test_silent_agent_is_not_counted():
    history = play(5, 3)
    record_total(history, 4000 + FRESH_MS + 1)
    assert history.totals[-1].busy_slots == 0.0
    assert demand_history.fresh_samples(history, 4000 + FRESH_MS) != {}
    assert demand_history.fresh_samples(history, 4001 + FRESH_MS) == {}


def test_waiting_requests_at_the_leader_are_added():
    history = play(3, 3)
    record_total(history, 3000, waiting=5)
    assert history.totals[-1].busy_slots == 8.0


def test_demand_is_sustained_once_it_lasted():
    history = play(10, 3)
    play(2, 0, history, 10)
    assert demand_history.sustained_slots(history, 11000) is not None
    assert demand_history.sustained_slots(ServiceHistory(), 0) is None
    assert demand_history.sustained_slots(play(2, 3), 1000) is None


def test_single_spike_is_not_sustained():
    history = ServiceHistory()
    for second, busy_ms in enumerate((0, 1000, 2000, 22000)):
        report(history, busy_ms, second * 1000)
        record_total(history, second * 1000)
    assert demand_history.sustained_slots(history, 3000) == 1.0


def test_gap_in_the_totals_ends_what_they_cover():
    history = play(10, 3)
    assert demand_history.sustained_slots(history, 9000 + 3001) is None
    play(3, 3, history, 20)
    assert demand_history.peak_slots(history, 22000, PERIOD_MS) is None


def test_peak_needs_the_whole_period_and_all_reports():
    history = play(8, 3)
    assert demand_history.peak_slots(history, 7000, PERIOD_MS) == 3.0
    assert demand_history.peak_slots(play(5, 3), 4000, PERIOD_MS) is None
    play(1, 3, history, 8, is_complete=False)
    assert demand_history.peak_slots(history, 8000, PERIOD_MS) is None
    play(5, 3, history, 9)
    assert demand_history.peak_slots(history, 13000, PERIOD_MS) is None


def test_low_demand_before_the_first_request_tells_nothing():
    history = play(60, 0)
    assert demand_history.peak_slots(history, 59000, PERIOD_MS) is None
    for second in range(60, 67):
        report(history, (second - 59) * 2000, second * 1000)
        record_total(history, second * 1000)
    assert demand_history.peak_slots(history, 65000, PERIOD_MS) is None
    assert demand_history.peak_slots(history, 66000, PERIOD_MS) == 2.0


def test_change_of_an_order_restarts_its_time():
    history = ServiceHistory(submitted_ms=1)
    demand_history.record_ordered(history, {"a": demand_history.OrderedCount(3, False)}, 1000)
    demand_history.record_ordered(history, {"a": demand_history.OrderedCount(3, False)}, 2000)
    assert (history.ordered_since_ms, history.submitted_ms) == (1000, None)
    demand_history.record_ordered(history, {"a": demand_history.OrderedCount(3, True)}, 3000)
    assert history.ordered_since_ms == 3000


def test_samples_and_totals_are_bounded():
    history = play(500, 1)
    assert len(history.totals) <= PERIOD_MS // 1000 + 2
    demand_history.remove_old_samples(history, 499000 + demand_history.RETENTION_MS + 1)
    assert history.samples == {}


@given(st.lists(st.tuples(st.integers(0, 4000), st.integers(0, 64)), min_size=8, max_size=40))
def test_peak_is_no_less_than_what_is_sustained(steps):
    history, now_ms, busy = ServiceHistory(), 0, 0
    for step_ms, slots in steps:
        now_ms += step_ms
        busy += slots * step_ms
        report(history, busy, now_ms)
        record_total(history, now_ms)
        peak = demand_history.peak_slots(history, now_ms, PERIOD_MS)
        sustained = demand_history.sustained_slots(history, now_ms)
        assert SUSTAINED_MS <= PERIOD_MS
        assert peak is None or sustained is None or sustained <= peak
