import pytest

from frostpost.simulator.costs import measure, view_change


@pytest.mark.parametrize("members,per_second,max_messages_each", ((4, 200, 9), (8, 1000, 6), (16, 200, 36)))
def test_ordering_does_not_wait_for_timers(members, per_second, max_messages_each):
    costs = measure(members, per_second)
    assert costs["virtual_ms"]["99"] < 50
    assert costs["messages_each"] <= max_messages_each


@pytest.mark.parametrize("victim", ("s1", "c1", "e1"))
def test_service_resumes_soon_after_a_member_is_killed(victim):
    costs = view_change(16, victim)
    assert costs["served_ms"] < 700
