"""Guards what a tenant's requests share or don't while the configuration's tenants change."""

import pytest
from fleet_simulator.routes import make_route
from fleet_simulator.tenant_deployment import ROUTE_PATHS, TenantDeployment, subscriber, tenant_document

TURN, KEYED = ROUTE_PATHS["turn"], ROUTE_PATHS["idempotent"]


@pytest.fixture
def deployment():
    return TenantDeployment()


def keyless_routes():
    return [dict(route, keyless=True) for route in tenant_document()["route-table"]]


def test_operation_key_on_a_keyless_route_runs_once_though_its_credential_is_removed_in_between(deployment):
    assert deployment.modify(upsert={"route-table": keyless_routes()}) == 200
    first = deployment.send(KEYED, "key-a1", operation_key="shared")
    assert first.status == 200
    assert deployment.modify(upsert={"subscribers": [subscriber("tenant-a", ["key-a2"])]}) == 200
    repeat = deployment.send(KEYED, "key-a1", operation_key="shared", edge=1)
    assert (len(deployment.runs(first)), len(deployment.runs(repeat))) == (1, 0)


def test_turn_on_a_keyless_route_is_found_though_its_credential_is_removed_in_between(deployment):
    assert deployment.modify(upsert={"route-table": keyless_routes()}) == 200
    first = deployment.send(TURN, "key-a1", body=b"first;")
    assert first.status == 200
    assert deployment.modify(upsert={"subscribers": [subscriber("tenant-a", ["key-a2"])]}) == 200
    assert deployment.send(TURN, "key-a1", body=b"second;", previous=first.try_id).status != 404


def test_turn_is_found_again_when_its_tenant_was_removed_and_came_back(deployment):
    first = deployment.send(TURN, "key-a1", body=b"first;")
    assert deployment.modify(remove={"subscribers": ["tenant-a"]}) == 200
    assert deployment.send(TURN, "key-a1", body=b"x;", previous=first.try_id).status == 401
    assert deployment.modify(upsert={"subscribers": [subscriber("tenant-a", ["key-a9"])]}) == 200
    assert deployment.send(TURN, "key-a9", body=b"second;", previous=first.try_id, edge=1).status == 200


def test_turn_of_a_tenant_whose_name_is_not_ascii_is_continued(deployment):
    assert deployment.modify(upsert={"subscribers": [subscriber("hlíð-日本", ["key-i"])]}) == 200
    first = deployment.send(TURN, "key-i", body=b"first;")
    second = deployment.send(TURN, "key-i", body=b"second;", previous=first.try_id, edge=1)
    assert (first.status, second.status) == (200, 200) and deployment.runs(second)[0].body.startswith(b"first;")


def test_keyless_route_with_a_longer_prefix_opens_no_other_path(deployment):
    nested = make_route("/chat/open/", "safe", "tools", keyless=True)
    assert deployment.modify(upsert={"route-table": [nested]}) == 200
    statuses = {
        path: deployment.send(path, None).status
        for path in ("/chat/open/x", "/chat/open", "/chat/Open/x", "/chat/./open/x", "/chat//open/x", "/chat/%6fpen/x")
    }
    assert statuses.pop("/chat/open/x") == 200 and set(statuses.values()) == {401}, statuses
