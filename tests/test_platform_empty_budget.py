"""A budget of 0 tokens is a budget, unlike none."""

import pytest
from fleet_simulator.tenant_deployment import ROUTE_PATHS, TenantDeployment
from proxy_harness import ProxyHarness, make_route, make_runner, types_of

from frostpost.program_ledger.messages import BeginAttempt, NoCapacity
from frostpost.proxy import failures
from frostpost.proxy.models import Call
from frostpost.proxy.turn import deadline_in_ms, needs_ledger

TURN, STREAM = ROUTE_PATHS["turn"], ROUTE_PATHS["streaming"]


def make_harness(monkeypatch, **route):
    return ProxyHarness([make_route(kind="streaming", **route)], [make_runner("r1")], monkeypatch)


def send(deployment, path, value, **options):
    headers = [] if value is None else [(b"X-Token-Budget", value)]
    return deployment.send(path, headers=headers, **options)


@pytest.mark.parametrize("value", [b"0", b"0.0", b"0.9", b"-0", b"-5"])
@pytest.mark.parametrize("path", [TURN, STREAM])
def test_program_without_any_tokens_runs_nothing(path, value):
    """Guards against review/6: a budget of 0 was taken for none."""
    deployment = TenantDeployment()
    answers = [send(deployment, path, value, program="p", edge=number % 2) for number in range(3)]
    assert [answer.status for answer in answers] == [402] * 3
    assert [deployment.runs(answer) for answer in answers] == [[]] * 3


def test_turn_without_a_budget_runs_as_before():
    deployment = TenantDeployment()
    answers = [send(deployment, TURN, None, program="p") for _ in range(3)]
    assert [answer.status for answer in answers] == [200] * 3


def test_empty_budget_of_one_turn_leaves_the_programs_others_alone():
    deployment = TenantDeployment()
    values = (b"1000", b"0", b"1000", None)
    assert [send(deployment, TURN, value, program="p").status for value in values] == [200, 402, 200, 200]


def test_refused_turn_may_be_sent_again_with_a_budget():
    deployment = TenantDeployment()
    refused = send(deployment, TURN, b"0", program="p", attempt="same")
    again = send(deployment, TURN, b"1000", program="p", attempt="same")
    assert (refused.status, again.status) == (402, 200) and len(deployment.runs(again)) == 1


def test_empty_budget_is_refused_without_an_operation(monkeypatch):
    harness = make_harness(monkeypatch)
    harness.serve(budget=0, max_output_tokens=5)
    assert types_of(harness.client_events) == [failures.BudgetSpent]
    assert harness.operations == harness.background_operations == []


@pytest.mark.parametrize("budget, encoded", [(None, 0), (7, 7)])
def test_operations_of_the_ledger_keep_0_for_no_budget(monkeypatch, budget, encoded):
    harness = make_harness(monkeypatch, retained=True, retention_ms=9)
    harness.results[BeginAttempt] = NoCapacity(20)
    harness.serve(budget=budget, max_output_tokens=5)
    assert [op.budget for op in harness.operations] == [encoded]


@pytest.mark.parametrize("remaining_ms, left_ms", [(None, 4000), (0, 0), (900, 900)])
def test_deadline_of_a_program_that_has_passed_is_not_taken_for_none(monkeypatch, remaining_ms, left_ms):
    harness = make_harness(monkeypatch)
    call = Call("a", b"POST", b"/", "h", [], b"", 0, 4000, program_remaining_ms=remaining_ms)
    assert deadline_in_ms(harness.agent, call) == left_ms and not needs_ledger(harness.agent.routing.routes[0], call)
