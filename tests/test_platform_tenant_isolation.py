"""Ids that two tenants share name two things: turns, attempts, operation keys and programs are a tenant's own."""

import pytest
from fleet_simulator import world as worlds
from fleet_simulator.runners import EVENT_TOKENS
from fleet_simulator.tenant_deployment import ROUTE_PATHS, TenantDeployment, subscriber, transcript

from frostpost.daemon import structured_log

TURN, KEYED = ROUTE_PATHS["turn"], ROUTE_PATHS["idempotent"]


@pytest.fixture
def deployment():
    return TenantDeployment()


def served_body(deployment, request):
    """Return the body with which the one run of a request reached its runner."""
    runs = deployment.runs(request)
    assert request.status == 200 and request.whole and len(runs) == 1, (request.status, request.got[:80], len(runs))
    return runs[0].body


@pytest.mark.parametrize("edge", [0, 1], ids=["same edge", "other edge"])
def test_turn_that_continues_another_tenants_turn_is_unknown_and_not_run(deployment, edge):
    first = deployment.send(TURN, "key-a1", body=b"of a;")
    follower = deployment.send(TURN, "key-b1", body=b"of b;", previous=first.try_id, edge=edge)
    assert (follower.status, deployment.runs(follower)) == (404, [])


def test_second_key_of_a_tenant_continues_the_turns_of_its_first(deployment):
    first = deployment.send(TURN, "key-a1", body=b"first;")
    follower = deployment.send(TURN, "key-a2", body=b"second;", previous=first.try_id, edge=1)
    assert served_body(deployment, follower) == transcript(first) + b"second;"


def test_turns_of_two_tenants_with_one_attempt_id_both_run(deployment):
    first = deployment.send(TURN, "key-a1", attempt="shared", body=b"of a;")
    second = deployment.send(TURN, "key-b1", attempt="shared", body=b"of b;")
    assert served_body(deployment, first) == b"of a;" and served_body(deployment, second) == b"of b;"


@pytest.mark.parametrize("edge", [0, 1], ids=["same edge", "other edge"])
def test_turns_that_ended_together_under_one_id_are_each_tenants_own_history(deployment, edge):
    open_turns = [
        deployment.begin(TURN, "key-a1", attempt="shared", body=b"of a;"),
        deployment.begin(TURN, "key-b1", attempt="shared", body=b"of b;", edge=edge),
    ]
    first, second = map(deployment.finish, open_turns)
    assert (served_body(deployment, first), served_body(deployment, second)) == (b"of a;", b"of b;")
    for request, key in ((first, "key-a1"), (second, "key-b1")):
        follower = deployment.send(TURN, key, body=b"next;", previous="shared", edge=2)
        assert served_body(deployment, follower) == transcript(request) + b"next;"


def test_open_turn_of_a_tenant_does_not_lend_its_history_to_anothers_with_its_id(deployment):
    before = deployment.send(TURN, "key-a1", body=b"before;")
    open_turn = deployment.begin(TURN, "key-a1", attempt="shared", body=b"of a;", previous=before.try_id)
    deployment.run_for(15)
    other = deployment.finish(deployment.begin(TURN, "key-b1", attempt="shared", body=b"of b;", edge=1))
    assert served_body(deployment, other) == b"of b;"
    assert served_body(deployment, deployment.finish(open_turn)) == transcript(before) + b"of a;"


def test_refused_attempt_of_a_tenant_does_not_refuse_anothers_with_its_id(deployment):
    refused = deployment.send(TURN, "key-a1", attempt="shared", body=b"of a;", previous="no-such-turn")
    other = deployment.send(TURN, "key-b1", attempt="shared", body=b"of b;")
    assert refused.status == 404 and served_body(deployment, other) == b"of b;"


@pytest.mark.parametrize("edge", [0, 1], ids=["same edge", "other edge"])
def test_operation_key_of_a_tenant_is_not_answered_with_anothers_result(deployment, edge):
    first = deployment.send(KEYED, "key-a1", operation_key="shared", body=b"of a;")
    second = deployment.send(KEYED, "key-b1", operation_key="shared", body=b"of b;", edge=edge)
    assert served_body(deployment, first) == b"of a;" and served_body(deployment, second) == b"of b;"
    assert first.seal != second.seal
    repeat = deployment.send(KEYED, "key-a2", operation_key="shared", body=b"of a;", edge=edge)
    assert (repeat.seal, repeat.got, deployment.runs(repeat)) == (first.seal, first.got, [])


def test_operation_key_in_work_at_one_tenant_is_free_for_another(deployment):
    for runner in deployment.world.runners.values():
        runner.pace_ms = 200.0
    first = deployment.begin(KEYED, "key-a1", operation_key="shared", body=b"of a;")
    deployment.run_for(50)
    second = deployment.send(KEYED, "key-b1", operation_key="shared", body=b"of b;", edge=1)
    assert served_body(deployment, second) == b"of b;"
    assert served_body(deployment, deployment.finish(first)) == b"of a;"


def test_budget_that_a_tenant_spent_is_not_taken_from_anothers_program_with_its_id(deployment):
    statuses = []
    for _ in range(2):
        statuses.append(
            deployment.send(TURN, "key-a1", program="shared", budget=EVENT_TOKENS, most=EVENT_TOKENS).status
        )
    other = deployment.send(TURN, "key-b1", program="shared", budget=EVENT_TOKENS, most=EVENT_TOKENS, body=b"of b;")
    assert statuses == [200, 402] and served_body(deployment, other) == b"of b;"


@pytest.mark.parametrize("path", [ROUTE_PATHS[kind] for kind in ("safe", "unsafe", "streaming")])
def test_tool_calls_of_two_tenants_with_one_id_both_run(deployment, path):
    requests = [
        deployment.begin(path, key, attempt="shared", program="shared", body=body)
        for key, body in (("key-a1", b"of a;"), ("key-b1", b"of b;"))
    ]
    bodies = [served_body(deployment, deployment.finish(request)) for request in requests]
    assert bodies == [b"of a;", b"of b;"]


def test_turn_that_was_open_while_its_key_moved_stays_its_tenants(deployment):
    for runner in deployment.world.runners.values():
        runner.pace_ms = 400.0
    open_turn = deployment.begin(TURN, "key-a1", body=b"of a;")
    deployment.run_for(50)
    moved = [subscriber("tenant-a", ["key-a2"]), subscriber("tenant-b", ["key-b1", "key-a1"])]
    assert open_turn.ended_ms < 0 and deployment.modify(upsert={"subscribers": moved}) == 200
    deployment.finish(open_turn)
    follower = deployment.send(TURN, "key-a2", body=b"next;", previous=open_turn.try_id)
    assert served_body(deployment, follower) == transcript(open_turn) + b"next;"
    stranger = deployment.send(TURN, "key-a1", body=b"of b;", previous=open_turn.try_id)
    assert (stranger.status, deployment.runs(stranger)) == (404, [])


@pytest.mark.parametrize("kind", sorted(ROUTE_PATHS))
def test_key_is_in_no_log_line(monkeypatch, kind):
    lines, document_of = [], worlds.document_of
    monkeypatch.setattr(structured_log.logging, "info", lambda form, *values: lines.append(form % values))
    monkeypatch.setattr(worlds, "document_of", lambda *args: {**document_of(*args), "frostpost-trace": True})
    deployment = TenantDeployment()
    for runner in deployment.world.runners.values():
        runner.odds = {"shed": 0.3, "lose": 0.2, "noise": 0.2}
    for key in ("key-a1", "key-unknown"):
        for _ in range(8):
            deployment.send(ROUTE_PATHS[kind], key)
    assert any('"trace"' in line for line in lines) and any("request_not_served" in line for line in lines)
    assert [line for line in lines if "key-" in line] == []
