import subprocess
import sys

import pytest
from msgspec import json

from frostpost.testbed import fleet as fleets
from frostpost.testbed.templates import TEMPLATES, TENANTS

pytestmark = pytest.mark.xdist_group("operators")
TURNS = "/v1/tenants/hlidar/routes/check/turns"
LOOKUPS = "/v1/tenants/hlidar/routes/claims/lookups"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = fleets.lay(str(tmp_path_factory.mktemp("fleet")), "quick")
    try:
        assert fleets.raise_(fleet)
        yield fleet
    finally:
        fleets.end(fleet)


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    base = tmp_path_factory.mktemp("declarations")
    for kind, documents in (("templates", TEMPLATES), ("tenants", TENANTS)):
        (base / kind).mkdir()
        for name, document in documents.items():
            (base / kind / f"{name}.json").write_bytes(json.encode(document))
    return str(base)


def command(fleet, *words, door="e1"):
    address = f"127.0.0.1:{fleet.daemons[door].http_port}"
    return subprocess.run(
        [sys.executable, "-m", "frostpost", *words, "--door", address],
        capture_output=True,
        text=True,
        timeout=60,
    )


def admin(fleet, *words, door="e1"):
    return command(fleet, "admin", *words, door=door)


def test_apply_is_done_once(fleet, folder):
    assert admin(fleet, "diff", folder).returncode == 1
    first = admin(fleet, "apply", folder)
    assert first.returncode == 0 and "tenants/hlidar: version 1" in first.stdout
    again = admin(fleet, "apply", folder, door="c1")
    assert again.returncode == 0 and "nothing to do" in again.stdout
    assert admin(fleet, "diff", folder, door="s2").returncode == 0


def test_patch_amends_a_part_and_a_stale_one_is_turned_away(fleet, folder):
    admin(fleet, "apply", folder)
    path = "/v1/config/tenants/tamar"
    status, said = fleets.call(
        fleet, "e1", path, "PATCH", {"parameters": {"retention_ms": 700000}}, headers={"if-match": '"1"'}
    )
    assert (status, said["version"]) == (200, 2)
    status, said = fleets.call(
        fleet, "e2", path, "PATCH", {"parameters": {"retention_ms": 800000}}, headers={"if-match": '"1"'}
    )
    assert (status, said["error"]["type"]) == (412, "ConfigMoved")
    for name in fleet.daemons:
        held = fleets.call(fleet, name, path)[1]
        assert held["document"]["parameters"] == {"retention_ms": 700000} and held["document"]["template"] == "kitchens"


@pytest.mark.parametrize(
    "path,body,status,type_",
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
def test_bad_input_gets_a_typed_fault(fleet, folder, path, body, status, type_):
    admin(fleet, "apply", folder)
    got, said = fleets.call(fleet, "e1", path, "POST", body)
    assert (got, said["error"]["type"]) == (status, type_) and said["error"]["text"]


def test_key_with_another_body_is_a_fault_at_any_daemon(fleet, folder):
    admin(fleet, "apply", folder)
    status, first = fleets.call(fleet, "e1", LOOKUPS, "POST", {"input": "a", "key": "k"})
    assert status == 200
    status, shared = fleets.call(fleet, "e2", LOOKUPS, "POST", {"input": "a", "key": "k"})
    assert status == 200 and shared["result"] == first["result"]
    status, said = fleets.call(fleet, "c1", LOOKUPS, "POST", {"input": "b", "key": "k"})
    assert (status, said["error"]["type"]) == (422, "KeyMismatch")


def test_voters_can_not_be_left_too_few(fleet):
    assert admin(fleet, "voters", "--remove", "s1").returncode == 3
    assert admin(fleet, "voters", "--add", "e1").returncode == 3


def test_a_folder_is_applied_as_one_and_versions_are_brought_back(fleet, folder):
    assert admin(fleet, "apply", folder, "--whole").returncode == 0
    again = admin(fleet, "apply", folder, "--whole", door="c1")
    assert again.returncode == 0 and "nothing to do" in again.stdout
    assert (
        fleets.call(fleet, "e1", "/v1/config/tenants/tamar", "PATCH", {"parameters": {"retention_ms": 610000}})[0]
        == 200
    )
    past = json.decode(admin(fleet, "history", "tenants/tamar", "--json").stdout)["versions"]
    back = admin(fleet, "rollback", "tenants/tamar", str(past[-2]["version"]))
    assert back.returncode == 0 and f"version {past[-1]['version'] + 1}" in back.stdout
    assert admin(fleet, "rollback", "tenants/tamar", "99").returncode == 3
    in_use = admin(fleet, "remove", "templates/clerks")
    assert in_use.returncode == 3 and "ConfigInUse" in in_use.stderr
    assert admin(fleet, "remove", "tenants/tamar").returncode == 0
    assert admin(fleet, "remove", "templates/kitchens").returncode == 0
    assert admin(fleet, "apply", folder).returncode == 0


def test_doctor_finds_a_lost_voter(fleet):
    well = command(fleet, "doctor")
    assert well.returncode == 0, well.stdout
    fleets.kill(fleet, "s3")
    assert fleets.wait_for(lambda: command(fleet, "doctor").returncode == 1, 20)
    found = json.decode(command(fleet, "doctor", "--json").stdout)
    assert {"VoterMissing", "Silent"} <= {f["problem"] for f in found}
    assert all(f["cause"] and f["remedy"] for f in found)
    status, said = fleets.call(fleet, "s3", "/v1/status")
    assert status == 0
