import pytest

from frostpost.simulator.costs import measure, view_change


@pytest.mark.parametrize("members,per_second,messages", ((4, 200, 9), (8, 1000, 6), (16, 200, 36)))
def test_reordered_requests_wait_for_no_timer(members, per_second, messages):
    found = measure(members, per_second)
    assert found["virtual_ms"]["99"] < 50
    assert found["messages_each"] <= messages


@pytest.mark.parametrize("victim", ("s1", "c1", "e1"))
def test_a_lost_member_costs_one_detection(victim):
    found = view_change(16, victim)
    assert found["served_ms"] < 700
