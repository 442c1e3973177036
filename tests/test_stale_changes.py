"""A stale change gets 412 from a daemon that holds a lease, and 503 from one that can't know the current version."""

import pytest
from msgspec import json
from test_stories import advance, call_daemon, started_fleet

from frostpost.simulator import fleet_calls, fleet_faults

PATH = "/v1/config/tenants/tamar"
STEP_MS, CHANGE_MS = 20, 4000
MOVED, NO_LEASE = (412, "ConfigMoved"), (503, "NoPrimary")


@pytest.fixture
def fleet():
    """A fleet in which the document at PATH has moved to version 2."""
    fleet = started_fleet()
    advance(fleet, 2000)
    status, reply = call_daemon(fleet, "e1", PATH, "PATCH", {"parameters": {"retention_ms": 700000}})
    assert (status, reply["version"]) == (200, 2)
    return fleet


def send_stale_patches(fleet, name, during_ms):
    """Send stale changes at a steady rate. Returns the (status, error type) of each, in the order of the requests."""
    pending = []
    for _ in range(during_ms // STEP_MS):
        document = {"parameters": {"retention_ms": 800000}}
        pending.append(fleet_calls.call(fleet, name, PATH, "PATCH", document, {"if-match": '"1"'}))
        advance(fleet, STEP_MS)
    advance(fleet, CHANGE_MS)
    return [(status, json.decode(body)["error"]["type"]) for ((status, body),) in pending]


def assert_unchanged(fleet):
    status, reply = call_daemon(fleet, "e2", PATH)
    assert (status, reply["document"]["parameters"]) == (200, {"retention_ms": 700000})


def test_stale_patch_is_refused_while_another_daemon_drops_out(fleet):
    others = [name for name in fleet.daemons if name != "e1"]
    fleet_faults.cut_links(fleet, ["e1"], others)
    answers = send_stale_patches(fleet, "e2", CHANGE_MS)
    assert set(answers) == {MOVED, NO_LEASE} and answers[-1] == MOVED
    assert_unchanged(fleet)


def test_stale_patch_through_a_daemon_without_a_lease_is_answered_503_until_it_returns(fleet):
    others = [name for name in fleet.daemons if name != "e2"]
    fleet_faults.cut_links(fleet, ["e2"], others)
    advance(fleet, CHANGE_MS)
    assert set(send_stale_patches(fleet, "e2", 200)) == {NO_LEASE}
    fleet_faults.heal(fleet)
    advance(fleet, CHANGE_MS)
    assert set(send_stale_patches(fleet, "e2", 200)) == {MOVED}
    assert_unchanged(fleet)
