"""Simulated days with faults whose clients belong to tenants violate no invariant."""

import pytest
from fleet_simulator.play import play
from fleet_simulator.tenants import TenantsCrowd, tenant_document
from msgspec import structs
from test_fleet_simulator_days import assert_no_violations

from frostpost.platform import runner_protocol


def play_tenants(seed, **options):
    return play(seed, document=tenant_document(), make_crowd=TenantsCrowd, **options)[1]


@pytest.mark.parametrize("seed", [1, 2, 3, 5])
def test_requests_run_for_the_tenant_of_their_key_under_random_faults(seed):
    assert_no_violations(play_tenants(seed, storm_ms=9000, gap_ms=1800))


@pytest.mark.parametrize("closing", ["power", "kill", "wipe"])
def test_tenants_keep_their_turns_and_operations_apart_over_a_closing_fault(closing):
    assert_no_violations(play_tenants(21, kinds=[], storm_ms=3000, closing=closing))


def test_calm_day_of_tenants_serves_nearly_all():
    report = play_tenants(41, kinds=[], storm_ms=5000, closing="none", odds={})
    assert_no_violations(report)
    answered = report.tries.get(200, 0) + report.tries.get(402, 0) + report.tries.get(404, 0)
    assert answered * 100 > sum(report.tries.values()) * 97


@pytest.mark.parametrize("shown", ["", "tenant-b"])
def test_run_for_nobody_or_for_another_tenant_is_found(monkeypatch, shown):
    """Guards the check itself, which goes by the versions that may be in force."""
    original = runner_protocol.request_headers

    def request_headers(call, runner, remaining_ms):
        return original(structs.replace(call, tenant=shown), runner, remaining_ms)

    monkeypatch.setattr(runner_protocol, "request_headers", request_headers)
    report = play_tenants(41, kinds=[], storm_ms=2000, closing="none", odds={})
    assert "UNASKED" in {violation.rule for violation in report.broken}
