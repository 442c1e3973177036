import pytest
from msgspec import json
from test_stories import asked, later, raised

from frostpost.simulator import valley_calls
from frostpost.testbed.templates import TEMPLATES, TENANTS

WHOLE = {"templates": TEMPLATES, "tenants": TENANTS}


@pytest.fixture(scope="module")
def valley():
    valley = raised()
    later(valley, 2000)
    return valley


def index(valley):
    return asked(valley, "e1", "/v1/config")[1]["index"]


def test_a_whole_set_is_taken_as_one_and_twice_is_nothing(valley):
    tenants = {**TENANTS, "third": {"template": "clerks"}}
    status, said = asked(valley, "s2", "/v1/config", "PUT", {**WHOLE, "tenants": tenants})
    assert status == 200 and set(said["versions"]) == {"tenants/third"}
    later(valley, 300)
    status, again = asked(valley, "e2", "/v1/config", "PUT", {**WHOLE, "tenants": tenants})
    assert status == 200 and again == {"versions": {}, "index": said["index"]}
    for name in valley.daemons:
        assert ("third", "check") in valley.daemons[name].ctx.routes
    status, said = asked(valley, "c1", "/v1/config", "PUT", WHOLE)
    assert status == 200 and set(said["versions"]) == {"tenants/third"}
    assert asked(valley, "e1", "/v1/config/tenants/third")[0] == 404


def test_a_whole_set_with_one_wrong_part_changes_nothing(valley):
    before = index(valley)
    wrong = {**WHOLE, "tenants": {**TENANTS, "hlidar": {"template": "none"}, "fresh": {"template": "clerks"}}}
    status, said = asked(valley, "e1", "/v1/config", "PUT", wrong)
    assert status == 422 and said["error"]["errors"][0]["path"] == "/tenants/hlidar/template"
    assert index(valley) == before


def test_of_two_whole_sets_that_race_one_is_taken(valley):
    headers, boxes = {"if-match": f'"{index(valley)}"'}, []
    for n, door in enumerate(("e1", "e2")):
        tenants = {**TENANTS, f"racer{n}": {"template": "clerks"}}
        boxes.append(valley_calls.call(valley, door, "/v1/config", "PUT", {**WHOLE, "tenants": tenants}, headers))
    later(valley, 4000)
    assert sorted(b[0][0] for b in boxes) == [200, 412]
    won = [n for n, b in enumerate(boxes) if b[0][0] == 200][0]
    held = json.decode(json.encode(asked(valley, "c2", "/v1/config")[1]))["configs"]
    assert f"tenants/racer{won}" in held and f"tenants/racer{1 - won}" not in held
    assert asked(valley, "e1", "/v1/config", "PUT", WHOLE)[0] == 200


def test_a_template_in_use_can_not_be_removed(valley):
    status, said = asked(valley, "e1", "/v1/config/templates/clerks", "DELETE")
    assert (status, said["error"]["type"]) == (409, "ConfigInUse")
    assert asked(valley, "e1", "/v1/config/templates/spare", "PUT", TEMPLATES["clerks"])[0] == 200
    assert asked(valley, "e2", "/v1/config/templates/spare", "DELETE")[0] == 200
    assert asked(valley, "e1", "/v1/config/templates/spare", "DELETE")[0] == 404
    status, said = asked(valley, "c1", "/v1/config/templates/spare", "PUT", TEMPLATES["clerks"])
    assert (status, said["version"]) == (200, 3)
    assert asked(valley, "e1", "/v1/config", "PUT", WHOLE)[0] == 200


def test_a_rollback_is_a_new_version_with_the_old_body(valley):
    path = "/v1/config/tenants/tamar"
    first = asked(valley, "e1", path)[1]
    for retention_ms in (700000, 800000):
        assert asked(valley, "e1", path, "PATCH", {"parameters": {"retention_ms": retention_ms}})[0] == 200
    versions = asked(valley, "s1", path + "/history")[1]["versions"]
    assert [v["version"] for v in versions][-3:] == [first["version"] + n for n in range(3)]
    status, said = asked(valley, "e2", path + "/rollback", "POST", {"version": first["version"]})
    assert (status, said["version"]) == (200, first["version"] + 3)
    assert asked(valley, "c1", path)[1]["document"] == first["document"]
    assert asked(valley, "e2", path + "/rollback", "POST", {"version": 99})[0] == 404
