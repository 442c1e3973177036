import pytest
from msgspec import json
from test_stories import advance, call_daemon, started_fleet

from frostpost.simulator import fleet_calls
from frostpost.testbed.templates import TEMPLATES, TENANTS

WHOLE = {"templates": TEMPLATES, "tenants": TENANTS}


@pytest.fixture(scope="module")
def fleet():
    fleet = started_fleet()
    advance(fleet, 2000)
    return fleet


def index(fleet):
    return call_daemon(fleet, "e1", "/v1/config")[1]["index"]


def test_a_whole_set_is_taken_as_one_and_twice_is_nothing(fleet):
    tenants = {**TENANTS, "third": {"template": "clerks"}}
    status, said = call_daemon(fleet, "s2", "/v1/config", "PUT", {**WHOLE, "tenants": tenants})
    assert status == 200 and set(said["versions"]) == {"tenants/third"}
    advance(fleet, 300)
    status, again = call_daemon(fleet, "e2", "/v1/config", "PUT", {**WHOLE, "tenants": tenants})
    assert status == 200 and again == {"versions": {}, "index": said["index"]}
    for name in fleet.daemons:
        assert ("third", "check") in fleet.daemons[name].ctx.routes
    status, said = call_daemon(fleet, "c1", "/v1/config", "PUT", WHOLE)
    assert status == 200 and set(said["versions"]) == {"tenants/third"}
    assert call_daemon(fleet, "e1", "/v1/config/tenants/third")[0] == 404


def test_a_whole_set_with_one_wrong_part_changes_nothing(fleet):
    before = index(fleet)
    wrong = {**WHOLE, "tenants": {**TENANTS, "hlidar": {"template": "none"}, "fresh": {"template": "clerks"}}}
    status, said = call_daemon(fleet, "e1", "/v1/config", "PUT", wrong)
    assert status == 422 and said["error"]["errors"][0]["path"] == "/tenants/hlidar/template"
    assert index(fleet) == before


def test_of_two_whole_sets_that_race_one_is_taken(fleet):
    headers, boxes = {"if-match": f'"{index(fleet)}"'}, []
    for n, door in enumerate(("e1", "e2")):
        tenants = {**TENANTS, f"racer{n}": {"template": "clerks"}}
        boxes.append(fleet_calls.call(fleet, door, "/v1/config", "PUT", {**WHOLE, "tenants": tenants}, headers))
    advance(fleet, 4000)
    assert sorted(b[0][0] for b in boxes) == [200, 412]
    won = [n for n, b in enumerate(boxes) if b[0][0] == 200][0]
    held = json.decode(json.encode(call_daemon(fleet, "c2", "/v1/config")[1]))["configs"]
    assert f"tenants/racer{won}" in held and f"tenants/racer{1 - won}" not in held
    assert call_daemon(fleet, "e1", "/v1/config", "PUT", WHOLE)[0] == 200


def test_a_template_in_use_can_not_be_removed(fleet):
    status, said = call_daemon(fleet, "e1", "/v1/config/templates/clerks", "DELETE")
    assert (status, said["error"]["type"]) == (409, "ConfigInUse")
    assert call_daemon(fleet, "e1", "/v1/config/templates/spare", "PUT", TEMPLATES["clerks"])[0] == 200
    assert call_daemon(fleet, "e2", "/v1/config/templates/spare", "DELETE")[0] == 200
    assert call_daemon(fleet, "e1", "/v1/config/templates/spare", "DELETE")[0] == 404
    status, said = call_daemon(fleet, "c1", "/v1/config/templates/spare", "PUT", TEMPLATES["clerks"])
    assert (status, said["version"]) == (200, 3)
    assert call_daemon(fleet, "e1", "/v1/config", "PUT", WHOLE)[0] == 200


def test_a_rollback_is_a_new_version_with_the_old_body(fleet):
    path = "/v1/config/tenants/tamar"
    first = call_daemon(fleet, "e1", path)[1]
    for retention_ms in (700000, 800000):
        assert call_daemon(fleet, "e1", path, "PATCH", {"parameters": {"retention_ms": retention_ms}})[0] == 200
    versions = call_daemon(fleet, "s1", path + "/history")[1]["versions"]
    assert [v["version"] for v in versions][-3:] == [first["version"] + n for n in range(3)]
    status, said = call_daemon(fleet, "e2", path + "/rollback", "POST", {"version": first["version"]})
    assert (status, said["version"]) == (200, first["version"] + 3)
    assert call_daemon(fleet, "c1", path)[1]["document"] == first["document"]
    assert call_daemon(fleet, "e2", path + "/rollback", "POST", {"version": 99})[0] == 404
