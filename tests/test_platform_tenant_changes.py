"""Guards what a tenant's requests share or don't while the configuration's tenants change."""

import json

import pytest
from fleet_simulator.routes import make_route
from fleet_simulator.tenant_deployment import ROUTE_PATHS, TENANTS, TenantDeployment, subscriber, tenant_document

from frostpost.platform import former_credentials, routing
from frostpost.proxy.credentials import credential_digest

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


def keyed_routes():
    return [dict(route, keyless=False) for route in keyless_routes()]


@pytest.mark.parametrize("before, after", ((keyed_routes, keyless_routes), (keyless_routes, keyed_routes)))
def test_operation_key_runs_once_though_its_route_becomes_keyless_or_ceases_to_be(deployment, before, after):
    """Guards against review/2: ids were kept under no tenant while a route was keyless."""
    assert deployment.modify(upsert={"route-table": before()}) == 200
    first = deployment.send(KEYED, "key-a1", operation_key="shared")
    assert deployment.modify(upsert={"route-table": after()}) == 200
    repeat = deployment.send(KEYED, "key-a1", operation_key="shared", edge=1)
    assert (first.status, repeat.status) == (200, 200)
    assert (len(deployment.runs(first)), len(deployment.runs(repeat))) == (1, 0) and repeat.got == first.got


@pytest.mark.parametrize("before, after", ((keyed_routes, keyless_routes), (keyless_routes, keyed_routes)))
def test_turn_is_found_though_its_route_becomes_keyless_or_ceases_to_be(deployment, before, after):
    """Guards against review/2: a turn that was kept was answered 404 after the change."""
    assert deployment.modify(upsert={"route-table": before()}) == 200
    first = deployment.send(TURN, "key-a1", body=b"first;")
    assert deployment.modify(upsert={"route-table": after()}) == 200
    second = deployment.send(TURN, "key-a1", body=b"second;", previous=first.try_id, edge=1)
    assert second.status == 200 and deployment.runs(second)[0].body.startswith(b"first;")


def test_operation_keys_of_two_tenants_on_a_keyless_route_differ(deployment):
    """Guards against review/2: another tenant got the recorded answer of the first."""
    assert deployment.modify(upsert={"route-table": keyless_routes()}) == 200
    first = deployment.send(KEYED, "key-a1", operation_key="shared")
    other = deployment.send(KEYED, "key-b1", operation_key="shared", edge=1)
    assert (len(deployment.runs(first)), len(deployment.runs(other))) == (1, 1)


def test_turn_of_one_tenant_on_a_keyless_route_is_unknown_to_another(deployment):
    assert deployment.modify(upsert={"route-table": keyless_routes()}) == 200
    first = deployment.send(TURN, "key-a1", body=b"first;")
    other = deployment.send(TURN, "key-b1", body=b"second;", previous=first.try_id)
    assert other.status == 404 and deployment.runs(other) == []


def test_operation_key_runs_once_though_its_credential_is_removed_and_its_route_made_keyless_by_one_change(deployment):
    first = deployment.send(KEYED, "key-a1", operation_key="shared")
    change = {"route-table": keyless_routes(), "subscribers": [subscriber("tenant-a", ["key-a2"])]}
    assert deployment.modify(upsert=change) == 200
    repeat = deployment.send(KEYED, "key-a1", operation_key="shared", edge=1)
    assert (len(deployment.runs(first)), len(deployment.runs(repeat))) == (1, 0)


def test_former_credential_that_another_tenant_gets_uses_the_ids_of_that_tenant(deployment):
    assert deployment.modify(upsert={"route-table": keyless_routes()}) == 200
    first = deployment.send(KEYED, "key-a1", operation_key="shared")
    assert deployment.modify(upsert={"subscribers": [subscriber("tenant-a", ["key-a2"])]}) == 200
    assert deployment.modify(upsert={"subscribers": [subscriber("tenant-b", ["key-b1", "key-a1"])]}) == 200
    other = deployment.send(KEYED, "key-a1", operation_key="shared", edge=1)
    assert (len(deployment.runs(first)), len(deployment.runs(other))) == (1, 1)


def test_tenants_that_exchange_their_credentials_keep_their_own_ids(deployment):
    first = deployment.send(KEYED, "key-a1", operation_key="shared")
    exchanged = [subscriber("tenant-a", ["key-b1"]), subscriber("tenant-b", ["key-a1", "key-a2"])]
    assert deployment.modify(upsert={"subscribers": exchanged}) == 200
    other = deployment.send(KEYED, "key-a1", operation_key="shared")
    repeat = deployment.send(KEYED, "key-b1", operation_key="shared", edge=1)
    assert [len(deployment.runs(request)) for request in (first, other, repeat)] == [1, 1, 0]
    assert repeat.got == first.got and other.got != first.got


def test_ids_stay_those_of_a_tenant_while_there_are_no_subscribers(deployment):
    """The last tenants are removed and come back with new credentials."""
    first = deployment.send(KEYED, "key-a1", operation_key="shared")
    turn = deployment.send(TURN, "key-a1", body=b"first;")
    removed = {"subscribers": list(TENANTS)}
    assert deployment.modify(upsert={"route-table": keyless_routes()}, remove=removed) == 200
    repeat = deployment.send(KEYED, "key-a1", operation_key="shared", edge=1)
    second = deployment.send(TURN, "key-a1", body=b"second;", previous=turn.try_id, edge=1)
    assert deployment.modify(upsert={"subscribers": [subscriber("tenant-a", ["key-a9"])]}) == 200
    again = deployment.send(KEYED, "key-a9", operation_key="shared")
    third = deployment.send(TURN, "key-a9", body=b"third;", previous=second.try_id)
    assert [len(deployment.runs(request)) for request in (first, repeat, again)] == [1, 0, 0]
    assert (second.status, third.status) == (200, 200) and repeat.got == again.got == first.got


def test_former_credential_admits_nobody_where_one_is_required(deployment):
    assert deployment.modify(upsert={"subscribers": [subscriber("tenant-a", ["key-a2"])]}) == 200
    refused = deployment.send(KEYED, "key-a1")
    assert refused.status == 401 and deployment.runs(refused) == []


def test_only_the_newest_former_credentials_are_stored():
    document = {**tenant_document(), "subscribers": [subscriber("a", [f"old{n}" for n in range(900)])]}
    body = routing.encode_body(document)
    assert routing.routing_from_body(body).former_tenants == {}
    for round_number in range(3):
        keys = [f"{round_number}-{n}" for n in range(900)]
        body = routing.encode_body({**document, "subscribers": [subscriber("a", keys)]}, body)
    former = routing.routing_from_body(body).former_tenants
    newest = {credential_digest(f"1-{n}".encode()): "a" for n in range(900)}
    assert len(former) == former_credentials.MAX_FORMER_CREDENTIALS and newest.items() <= former.items()
    body = routing.encode_body({**document, "subscribers": [subscriber("b", ["1-7"])]}, body)
    assert credential_digest(b"1-7") not in routing.routing_from_body(body).former_tenants


def test_body_without_former_credentials_is_stored_as_before():
    document = tenant_document()
    body = routing.encode_body(document)
    assert body == b'{"document":' + json.dumps(document, separators=(",", ":")).encode() + b"}"
    assert routing.encode_body(document, body) == body
