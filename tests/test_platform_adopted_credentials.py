"""What a client did before a tenant held its credential is that tenant's own once the configuration says so."""

import pytest
from fleet_simulator import jobs, stage, tenant_deployment
from fleet_simulator import world as worlds
from fleet_simulator.routes import HOST, first_document
from fleet_simulator.tenant_deployment import (
    MAX_TOKENS,
    ROUTE_PATHS,
    TENANTS,
    TenantDeployment,
    header_values,
    subscriber,
    tenant_document,
)

from frostpost.cluster import lease_client, replica_daemon
from frostpost.program_ledger.adoption import ADOPTION_RULES

TURN, KEYED = ROUTE_PATHS["turn"], ROUTE_PATHS["idempotent"]
RETURN_MS, RESTART_MS, WINDOW_MS = 6000, 2500, 60000
LONG_REQUEST_MS, RUN_STARTED_MS = 20000, 300
HONOURED_MS, CHANGE_MS = 300, 6000
ALL_TENANTS = [subscriber(name, keys) for name, keys in TENANTS.items()]


@pytest.fixture(autouse=True)
def long_window(monkeypatch):
    monkeypatch.setitem(worlds.DEFAULT_TIMERS, "window", WINDOW_MS)


def keyless_document():
    """Return a configuration with tenants whose routes all admit clients without a known credential."""
    document = tenant_document()
    return {**document, "route-table": [dict(route, keyless=True) for route in document["route-table"]]}


class LateCredential:
    """A deployment and the change by which tenant-a comes to hold the credential `key`."""

    def __init__(self, document, key, change):
        self.document, self.deployment, self.key, self.change = document, TenantDeployment(document), key, change

    def add(self):
        assert self.deployment.modify(upsert=self.change) == 200


FIRST_SUBSCRIBERS = (first_document, "key-a1", {"subscribers": ALL_TENANTS})
ADDED_CREDENTIAL = (
    keyless_document,
    "key-late",
    {"subscribers": [subscriber("tenant-a", ["key-a1", "key-a2", "key-late"])]},
)
NEW_TENANT = (keyless_document, "key-late", {"subscribers": [subscriber("tenant-new", ["key-late", "key-new"])]})


@pytest.fixture(
    params=[FIRST_SUBSCRIBERS, ADDED_CREDENTIAL, NEW_TENANT],
    ids=["first-subscribers", "added-credential", "new-tenant"],
)
def late(request):
    make_document, key, change = request.param
    return LateCredential(make_document(), key, change)


def test_operation_key_runs_once_though_its_credential_becomes_known_in_between(late):
    """Guards against an operation that ran again once a tenant held its client's credential."""
    first = late.deployment.send(KEYED, late.key, operation_key="shared")
    late.add()
    repeat = late.deployment.send(KEYED, late.key, operation_key="shared", edge=1)
    assert (first.status, repeat.status) == (200, 200)
    assert (len(late.deployment.runs(first)), len(late.deployment.runs(repeat))) == (1, 0) and repeat.got == first.got


def test_turn_is_found_though_its_credential_becomes_known_in_between(late):
    """Guards against a kept turn that was answered 404 once a tenant held its client's credential."""
    first = late.deployment.send(TURN, late.key, body=b"first;")
    late.add()
    second = late.deployment.send(TURN, late.key, body=b"second;", previous=first.try_id, edge=1)
    third = late.deployment.send(TURN, late.key, body=b"third;", previous=second.try_id)
    assert (first.status, second.status, third.status) == (200, 200, 200)
    assert late.deployment.runs(third)[0].body.startswith(b"first;")


def test_program_keeps_its_budget_though_its_credential_becomes_known_in_between(late):
    """Guards against a budget that started anew once a tenant held its client's credential."""
    options = {"program": "p-late", "budget": 1}
    first = late.deployment.send(TURN, late.key, **options)
    late.add()
    second = late.deployment.send(TURN, late.key, edge=1, **options)
    assert (first.status, second.status) == (200, 402) and late.deployment.runs(second) == []


def test_operation_key_in_progress_when_its_credential_becomes_known_runs_once(late, monkeypatch):
    """The first run is answered by an edge that admitted it before it learned of the tenant."""
    monkeypatch.setattr(tenant_deployment, "REQUEST_MS", LONG_REQUEST_MS)
    respond, pending = jobs.Job.respond, []
    deployment = late.deployment
    slow = [
        dict(route, **{"guard-ms": LONG_REQUEST_MS})
        for route in late.document["route-table"]
        if route["path-prefix"] == "/keyed/" and route["host"] == HOST
    ]
    assert deployment.modify(upsert={"route-table": slow}) == 200
    monkeypatch.setattr(jobs.Job, "respond", lambda job: pending.append(job))
    first = deployment.begin(KEYED, late.key, operation_key="shared")
    deployment.run_for(RUN_STARTED_MS)
    assert len(pending) == 1
    late.add()
    early = deployment.send(KEYED, late.key, operation_key="shared", edge=1)
    monkeypatch.setattr(jobs.Job, "respond", respond)
    respond(pending[0])
    deployment.finish(first)
    again = deployment.send(KEYED, late.key, operation_key="shared", edge=1)
    assert (first.status, early.status, again.status) == (200, 409, 200) and again.got == first.got
    assert [len(deployment.runs(request)) for request in (first, early, again)] == [1, 0, 0]


def subscribers_shown(deployment, request):
    return {tuple(header_values(run, b"x-subscriber")) for run in deployment.runs(request)}


def test_ids_are_shared_by_an_edge_that_honours_the_change_and_one_that_has_yet_to(late, monkeypatch):
    """The change reaches the second edge late; until then it sends ids without a tenant."""
    deployment, honour = late.deployment, lease_client.on_routing_update
    behind = deployment.world.of("edge")[1].owner
    monkeypatch.setattr(
        lease_client, "on_routing_update", lambda agent, update: agent is behind or honour(agent, update)
    )
    keyed = deployment.send(KEYED, late.key, operation_key="shared")
    first = deployment.send(TURN, late.key, body=b"first;")
    change = deployment.begin_modify(upsert=late.change)
    deployment.run_for(HONOURED_MS)
    new_key = deployment.send(KEYED, late.key, operation_key="new", edge=1)
    repeats = [deployment.send(KEYED, late.key, operation_key="shared", edge=edge) for edge in (1, 0)]
    assert deployment.send(KEYED, late.key, operation_key="new").got == new_key.got
    second = deployment.send(TURN, late.key, body=b"second;", previous=first.try_id)
    third = deployment.send(TURN, late.key, body=b"third;", previous=second.try_id, edge=1)
    fourth = deployment.send(TURN, late.key, body=b"fourth;", previous=third.try_id)
    tenant = (late.change["subscribers"][0]["name"].encode(),)
    assert [subscribers_shown(deployment, turn) for turn in (second, third, fourth)] == [{tenant}, {()}, {tenant}]
    assert [repeat.got for repeat in repeats] == [keyed.got] * 2
    assert [len(deployment.runs(request)) for request in (keyed, new_key, *repeats)] == [1, 1, 0, 0]
    assert deployment.runs(fourth)[0].body.startswith(b"first;")
    assert deployment.send(KEYED, "key-b1", operation_key="new").got != new_key.got
    assert not change.called
    monkeypatch.setattr(lease_client, "on_routing_update", honour)
    assert stage.await_(deployment.world, change, CHANGE_MS) == 200


@pytest.mark.parametrize("other_key", [None, "key-b1"])
def test_adopted_operation_key_is_unknown_to_others(other_key):
    deployment = TenantDeployment(keyless_document())
    first = deployment.send(KEYED, "key-late", operation_key="shared")
    assert deployment.modify(upsert=ADDED_CREDENTIAL[2]) == 200
    other = deployment.send(KEYED, other_key, operation_key="shared", edge=1)
    assert (len(deployment.runs(first)), len(deployment.runs(other))) == (1, 1) and other.got != first.got


@pytest.mark.parametrize("other_key", [None, "key-b1", "key-unknown"])
def test_adopted_turn_is_unknown_to_others(other_key):
    deployment = TenantDeployment(keyless_document())
    first = deployment.send(TURN, "key-late", body=b"first;")
    assert deployment.modify(upsert=ADDED_CREDENTIAL[2]) == 200
    other = deployment.send(TURN, other_key, body=b"second;", previous=first.try_id)
    assert other.status == 404 and deployment.runs(other) == []


@pytest.mark.parametrize("other_key", [None, "key-b1", "key-unknown"])
def test_adopted_program_is_not_charged_for_others_of_its_name(other_key):
    deployment = TenantDeployment(keyless_document())
    options = {"program": "p-late", "budget": 2 * MAX_TOKENS}
    assert deployment.send(TURN, "key-late", **options).status == 200
    assert deployment.modify(upsert=ADDED_CREDENTIAL[2]) == 200
    for _ in range(4):
        deployment.send(TURN, other_key, **options)
    assert deployment.send(TURN, "key-late", **options).status == 200


def test_what_one_tenant_adopted_is_not_handed_on_with_the_credential():
    deployment = TenantDeployment(keyless_document())
    first = deployment.send(KEYED, "key-late", operation_key="shared")
    turn = deployment.send(TURN, "key-late", body=b"first;")
    assert deployment.modify(upsert=ADDED_CREDENTIAL[2]) == 200
    moved = [subscriber("tenant-a", ["key-a1"]), subscriber("tenant-b", ["key-b1", "key-late"])]
    assert deployment.modify(upsert={"subscribers": moved}) == 200
    other = deployment.send(KEYED, "key-late", operation_key="shared")
    follower = deployment.send(TURN, "key-late", body=b"second;", previous=turn.try_id)
    assert (len(deployment.runs(first)), len(deployment.runs(other)), follower.status) == (1, 1, 404)
    owner = deployment.send(KEYED, "key-a1", operation_key="shared", edge=1)
    assert owner.got == first.got and deployment.runs(owner) == []


def test_tenant_finds_with_one_credential_what_was_done_with_another_before_it_was_known(late):
    if late.key == "key-late" and "key-new" in late.change["subscribers"][0]["credentials"]:
        second_key = "key-new"
    else:
        second_key = "key-a2"
    first = late.deployment.send(KEYED, late.key, operation_key="shared")
    late.add()
    repeat = late.deployment.send(KEYED, second_key, operation_key="shared", edge=1)
    assert repeat.got == first.got and late.deployment.runs(repeat) == []


def test_key_without_a_credential_belongs_to_no_tenant_later():
    deployment = TenantDeployment(first_document())
    first = deployment.send(KEYED, None, operation_key="shared")
    assert deployment.modify(upsert={"subscribers": ALL_TENANTS}) == 200
    other = deployment.send(KEYED, "key-a1", operation_key="shared")
    assert (len(deployment.runs(first)), len(deployment.runs(other))) == (1, 1)


def restart_storage(deployment):
    """Take the power from all storage daemons at once, then start them."""
    for daemon in deployment.world.of("storage"):
        worlds.kill(deployment.world, daemon, power=True)
    for daemon in deployment.world.of("storage"):
        daemon.host.powered = True
        worlds.start(deployment.world, daemon)
    deployment.run_for(RETURN_MS)


def test_adoption_survives_the_loss_of_power_of_all_storage_daemons(late):
    first = late.deployment.send(KEYED, late.key, operation_key="shared")
    turn = late.deployment.send(TURN, late.key, body=b"first;")
    late.add()
    restart_storage(late.deployment)
    repeat = late.deployment.send(KEYED, late.key, operation_key="shared", edge=1)
    second = late.deployment.send(TURN, late.key, body=b"second;", previous=turn.try_id)
    assert late.deployment.runs(repeat) == [] and repeat.got == first.got and second.status == 200


def test_credentials_are_adopted_once_no_storage_daemon_has_the_build_before(monkeypatch):
    monkeypatch.setattr(replica_daemon, "PROTOCOL_REVISION", ADOPTION_RULES - 1)
    deployment = TenantDeployment(keyless_document())
    before = deployment.send(KEYED, "key-late", operation_key="before")
    monkeypatch.setattr(replica_daemon, "PROTOCOL_REVISION", ADOPTION_RULES)
    for daemon in deployment.world.of("storage"):
        worlds.kill(deployment.world, daemon)
        deployment.run_for(RESTART_MS)
        worlds.start(deployment.world, daemon)
        deployment.run_for(RETURN_MS)
        repeat = deployment.send(KEYED, "key-late", operation_key="before", edge=1)
        assert repeat.got == before.got and deployment.runs(repeat) == []
    first = deployment.send(KEYED, "key-late", operation_key="shared")
    assert deployment.modify(upsert=ADDED_CREDENTIAL[2]) == 200
    repeat = deployment.send(KEYED, "key-late", operation_key="shared", edge=1)
    assert repeat.got == first.got and deployment.runs(repeat) == []
