import pytest
from msgspec import json
from test_stories import advance, call_daemon, started_fleet

from frostpost.simulator import fleet_calls
from frostpost.testbed.templates import TEMPLATES, TENANTS

ALL_DOCUMENTS = {"templates": TEMPLATES, "tenants": TENANTS}


@pytest.fixture(scope="module")
def fleet():
    fleet = started_fleet()
    advance(fleet, 2000)
    return fleet


def config_index(fleet):
    return call_daemon(fleet, "e1", "/v1/config")[1]["index"]


def test_replacing_all_documents_is_atomic_and_idempotent(fleet):
    tenants = {**TENANTS, "third": {"template": "clerks"}}
    status, body = call_daemon(fleet, "s2", "/v1/config", "PUT", {**ALL_DOCUMENTS, "tenants": tenants})
    assert status == 200 and set(body["versions"]) == {"tenants/third"}
    advance(fleet, 300)
    status, repeated = call_daemon(fleet, "e2", "/v1/config", "PUT", {**ALL_DOCUMENTS, "tenants": tenants})
    assert status == 200 and repeated == {"versions": {}, "index": body["index"]}
    for name in fleet.daemons:
        assert ("third", "check") in fleet.daemons[name].ctx.routes
    status, body = call_daemon(fleet, "c1", "/v1/config", "PUT", ALL_DOCUMENTS)
    assert status == 200 and set(body["versions"]) == {"tenants/third"}
    assert call_daemon(fleet, "e1", "/v1/config/tenants/third")[0] == 404


def test_replacement_with_one_invalid_document_changes_nothing(fleet):
    index_before = config_index(fleet)
    invalid = {**ALL_DOCUMENTS, "tenants": {**TENANTS, "hlidar": {"template": "none"}, "fresh": {"template": "clerks"}}}
    status, body = call_daemon(fleet, "e1", "/v1/config", "PUT", invalid)
    assert status == 422 and body["error"]["errors"][0]["path"] == "/tenants/hlidar/template"
    assert config_index(fleet) == index_before


def test_one_of_two_concurrent_replacements_succeeds(fleet):
    headers, responses = {"if-match": f'"{config_index(fleet)}"'}, []
    for number, edge in enumerate(("e1", "e2")):
        tenants = {**TENANTS, f"racer{number}": {"template": "clerks"}}
        responses.append(
            fleet_calls.call(fleet, edge, "/v1/config", "PUT", {**ALL_DOCUMENTS, "tenants": tenants}, headers)
        )
    advance(fleet, 4000)
    assert sorted(b[0][0] for b in responses) == [200, 412]
    winner = [number for number, b in enumerate(responses) if b[0][0] == 200][0]
    configs = json.decode(json.encode(call_daemon(fleet, "c2", "/v1/config")[1]))["configs"]
    assert f"tenants/racer{winner}" in configs and f"tenants/racer{1 - winner}" not in configs
    assert call_daemon(fleet, "e1", "/v1/config", "PUT", ALL_DOCUMENTS)[0] == 200


def test_template_in_use_is_not_removed(fleet):
    status, body = call_daemon(fleet, "e1", "/v1/config/templates/clerks", "DELETE")
    assert (status, body["error"]["type"]) == (409, "ConfigInUse")
    assert call_daemon(fleet, "e1", "/v1/config/templates/spare", "PUT", TEMPLATES["clerks"])[0] == 200
    assert call_daemon(fleet, "e2", "/v1/config/templates/spare", "DELETE")[0] == 200
    assert call_daemon(fleet, "e1", "/v1/config/templates/spare", "DELETE")[0] == 404
    status, body = call_daemon(fleet, "c1", "/v1/config/templates/spare", "PUT", TEMPLATES["clerks"])
    assert (status, body["version"]) == (200, 3)
    assert call_daemon(fleet, "e1", "/v1/config", "PUT", ALL_DOCUMENTS)[0] == 200


def test_rollback_creates_a_new_version_with_the_old_body(fleet):
    path = "/v1/config/tenants/tamar"
    original = call_daemon(fleet, "e1", path)[1]
    for retention_ms in (700000, 800000):
        assert call_daemon(fleet, "e1", path, "PATCH", {"parameters": {"retention_ms": retention_ms}})[0] == 200
    versions = call_daemon(fleet, "s1", path + "/history")[1]["versions"]
    assert [v["version"] for v in versions][-3:] == [original["version"] + number for number in range(3)]
    status, body = call_daemon(fleet, "e2", path + "/rollback", "POST", {"version": original["version"]})
    assert (status, body["version"]) == (200, original["version"] + 3)
    assert call_daemon(fleet, "c1", path)[1]["document"] == original["document"]
    assert call_daemon(fleet, "e2", path + "/rollback", "POST", {"version": 99})[0] == 404
