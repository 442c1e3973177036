import subprocess
import sys

import pytest
from msgspec import json

from frostpost.testbed import fleet as fleets
from frostpost.testbed.templates import TEMPLATES, TENANTS

pytestmark = pytest.mark.xdist_group("operators")
TURNS = "/v1/tenants/hlidar/routes/check/turns"
LOOKUPS = "/v1/tenants/hlidar/routes/claims/lookups"
NOTHING_WAS_RUN, LEASE_WAIT_S = ("NoPrimary", "ConfigChanging"), 20


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = fleets.plan_fleet(str(tmp_path_factory.mktemp("fleet")), "quick")
    try:
        assert fleets.start_fleet(fleet)
        yield fleet
    finally:
        fleets.stop_fleet(fleet)


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    directory = tmp_path_factory.mktemp("declarations")
    for kind, documents in (("templates", TEMPLATES), ("tenants", TENANTS)):
        (directory / kind).mkdir()
        for name, document in documents.items():
            (directory / kind / f"{name}.json").write_bytes(json.encode(document))
    return str(directory)


def run_command(fleet, *arguments, daemon="e1"):
    address = f"127.0.0.1:{fleet.daemons[daemon].http_port}"
    return subprocess.run(
        [sys.executable, "-m", "frostpost", *arguments, "--door", address],
        capture_output=True,
        text=True,
        timeout=60,
    )


def run_admin(fleet, *arguments, daemon="e1"):
    return run_command(fleet, "admin", *arguments, daemon=daemon)


def call_until_served(fleet, *arguments, **options):
    """Repeat a call while its answer is a 503 after which docs/api.md promises that nothing was run."""
    answers = []

    def is_served():
        status, reply = fleets.call(fleet, *arguments, **options)
        answers.append((status, reply))
        return status != 503 or reply["error"]["type"] not in NOTHING_WAS_RUN

    assert fleets.wait_for(is_served, LEASE_WAIT_S), answers[-1]
    return answers[-1]


def apply_until_served(fleet, folder):
    """Repeat the command `admin apply` while it ends with one of these errors; any other failure fails the test."""
    results = []

    def is_served():
        results.append(run_admin(fleet, "apply", folder))
        return not any(f"\n{name}: " in f"\n{results[-1].stderr}" for name in NOTHING_WAS_RUN)

    assert fleets.wait_for(is_served, LEASE_WAIT_S) and results[-1].returncode == 0, results[-1].stderr


def test_apply_changes_nothing_when_repeated(fleet, folder):
    assert run_admin(fleet, "diff", folder).returncode == 1
    first = run_admin(fleet, "apply", folder)
    assert first.returncode == 0 and "tenants/hlidar: version 1" in first.stdout
    repeated = run_admin(fleet, "apply", folder, daemon="c1")
    assert repeated.returncode == 0 and "nothing to do" in repeated.stdout
    assert run_admin(fleet, "diff", folder, daemon="s2").returncode == 0


def test_patch_changes_one_parameter_and_a_stale_patch_is_refused(fleet, folder):
    apply_until_served(fleet, folder)
    path = "/v1/config/tenants/tamar"
    status, reply = call_until_served(
        fleet, "e1", path, "PATCH", {"parameters": {"retention_ms": 700000}}, headers={"if-match": '"1"'}
    )
    assert (status, reply["version"]) == (200, 2)
    status, reply = call_until_served(
        fleet, "e2", path, "PATCH", {"parameters": {"retention_ms": 800000}}, headers={"if-match": '"1"'}
    )
    assert (status, reply["error"]["type"]) == (412, "ConfigMoved")
    for name in fleet.daemons:
        config = call_until_served(fleet, name, path)[1]
        assert (
            config["document"]["parameters"] == {"retention_ms": 700000}
            and config["document"]["template"] == "kitchens"
        )


@pytest.mark.parametrize(
    "path,body,status,error_type",
    [
        (TURNS, b"{", 400, "BadBody"),
        (TURNS, b"[]", 400, "BadBody"),
        (TURNS, b'{"program": "p", "program": "q", "input": "x"}', 400, "BadBody"),
        (TURNS, b'{"input": "x"}', 400, "BadBody"),
        (TURNS, b'{"program": "p", "input": 7}', 400, "BadBody"),
        (TURNS, b'{"program": "p", "input": "x", "deadline_ms": 0}', 400, "BadBody"),
        (TURNS, b'{"program": "p", "input": "x", "extra": 1}', 400, "BadBody"),
        (TURNS, b'{"program": "p", "input": "' + b"x" * (1 << 20) + b'"}', 413, "TooLong"),
        (LOOKUPS, b'{"input": "x"}', 400, "BadBody"),
        ("/v1/tenants/nobody/routes/check/turns", b'{"program": "p", "input": "x"}', 404, "NoRoute"),
        ("/v1/tenants/hlidar/routes/flags/turns", b'{"program": "p", "input": "x"}', 404, "NoRoute"),
        ("/v1/nowhere", b"{}", 404, "NoSuch"),
    ],
)
def test_invalid_request_is_answered_with_a_typed_error(fleet, folder, path, body, status, error_type):
    apply_until_served(fleet, folder)
    received, reply = call_until_served(fleet, "e1", path, "POST", body)
    assert (received, reply["error"]["type"]) == (status, error_type) and reply["error"]["text"]


def test_idempotency_key_with_another_body_is_refused_by_any_daemon(fleet, folder):
    apply_until_served(fleet, folder)
    status, first = call_until_served(fleet, "e1", LOOKUPS, "POST", {"input": "a", "key": "k"})
    assert status == 200
    status, shared = call_until_served(fleet, "e2", LOOKUPS, "POST", {"input": "a", "key": "k"})
    assert status == 200 and shared["result"] == first["result"]
    status, reply = call_until_served(fleet, "c1", LOOKUPS, "POST", {"input": "b", "key": "k"})
    assert (status, reply["error"]["type"]) == (422, "KeyMismatch")


def test_change_that_leaves_too_few_voters_is_refused(fleet):
    assert run_admin(fleet, "voters", "--remove", "s1").returncode == 3
    assert run_admin(fleet, "voters", "--add", "e1").returncode == 3


def test_folder_is_applied_atomically_and_versions_are_restored(fleet, folder):
    assert run_admin(fleet, "apply", folder, "--whole").returncode == 0
    repeated = run_admin(fleet, "apply", folder, "--whole", daemon="c1")
    assert repeated.returncode == 0 and "nothing to do" in repeated.stdout
    assert (
        fleets.call(fleet, "e1", "/v1/config/tenants/tamar", "PATCH", {"parameters": {"retention_ms": 610000}})[0]
        == 200
    )
    history = run_admin(fleet, "history", "tenants/tamar", "--json")
    assert history.returncode == 0, history.stderr
    versions = json.decode(history.stdout)["versions"]
    restored = run_admin(fleet, "rollback", "tenants/tamar", str(versions[-2]["version"]))
    assert restored.returncode == 0 and f"version {versions[-1]['version'] + 1}" in restored.stdout
    assert run_admin(fleet, "rollback", "tenants/tamar", "99").returncode == 3
    in_use = run_admin(fleet, "remove", "templates/clerks")
    assert in_use.returncode == 3 and "ConfigInUse" in in_use.stderr
    assert run_admin(fleet, "remove", "tenants/tamar").returncode == 0
    assert run_admin(fleet, "remove", "templates/kitchens").returncode == 0
    assert run_admin(fleet, "apply", folder).returncode == 0


def test_doctor_reports_a_killed_voter(fleet):
    healthy = run_command(fleet, "doctor")
    assert healthy.returncode == 0, healthy.stdout
    fleets.kill(fleet, "s3")
    assert fleets.wait_for(lambda: run_command(fleet, "doctor").returncode == 1, 20)
    findings = json.decode(run_command(fleet, "doctor", "--json").stdout)
    assert {"VoterMissing", "Silent"} <= {finding["problem"] for finding in findings}
    assert all(finding["cause"] and finding["remedy"] for finding in findings)
    status, reply = fleets.call(fleet, "s3", "/v1/status")
    assert status == 0
