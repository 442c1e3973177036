import pytest

from frostpost.simulator.costs import measure, viewChange


@pytest.mark.parametrize("members,perSecond,messages", ((4, 200, 9), (8, 1000, 6), (16, 200, 36)))
def test_reordered_requests_wait_for_no_timer(members, perSecond, messages):
    found = measure(members, perSecond)
    assert found["virtualMs"]["99"] < 50
    assert found["messagesEach"] <= messages


@pytest.mark.parametrize("victim", ("s1", "c1", "e1"))
def test_a_lost_member_costs_one_detection(victim):
    found = viewChange(16, victim)
    assert found["servedMs"] < 700
