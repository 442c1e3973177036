"""Operation keys run once whatever the hosts, paths and services of their routes, and whichever builds serve them."""

import pytest
from fleet_simulator import jobs, tenant_deployment
from fleet_simulator import world as worlds
from fleet_simulator.routes import HOST, make_route
from fleet_simulator.tenant_deployment import ROUTE_PATHS, TenantDeployment

from frostpost.cluster import replica_daemon
from frostpost.cluster.leadership import is_sequencer
from frostpost.ledger.operations import TASK_RULES
from frostpost.program_ledger.keys import TENANT_KEY_RULES

KEYED, OTHER_HOST, MOVED_PATH = ROUTE_PATHS["idempotent"], "moved.example", "/keyed/elsewhere/x"
RETURN_MS, RESTART_MS, WINDOW_MS = 6000, 2500, 60000
LONG_REQUEST_MS, RUN_STARTED_MS = 20000, 300


@pytest.fixture(autouse=True)
def long_window(monkeypatch):
    monkeypatch.setitem(worlds.DEFAULT_TIMERS, "window", WINDOW_MS)


@pytest.fixture
def deployment():
    return TenantDeployment()


def keyed_route(prefix="/keyed/", host=OTHER_HOST, name="rkeyed", **fields):
    return make_route(prefix, "idempotent", "tools", host=host, name=name, keyless=False, **fields)


def send(deployment, host=HOST, path=KEYED, key="key-a1", **options):
    return deployment.send(path, key, host=host, operation_key="shared", **options)


def runs(deployment, *requests):
    return [len(deployment.runs(request)) for request in requests]


def test_operation_key_runs_once_though_its_route_moves_to_another_host(deployment):
    """Guards against review/4: a repeat at the new host ran again."""
    first = send(deployment)
    assert deployment.modify(upsert={"route-table": [keyed_route()]}) == 200
    repeat = send(deployment, OTHER_HOST, edge=1)
    assert send(deployment, edge=1).status == 404
    assert runs(deployment, first, repeat) == [1, 0] and (repeat.status, repeat.got) == (200, first.got)


def test_operation_key_runs_once_though_its_route_moves_again_and_again(deployment):
    first = send(deployment)
    for number in range(3):
        host, prefix = f"moved-{number}.example", f"/keyed/elsewhere-{number}/"
        service = ("tools2", "tools")[number % 2]
        removed = "rkeyed" if number == 0 else f"again-{number - 1}"
        route = dict(keyed_route(prefix, host, f"again-{number}"), target=service)
        assert deployment.modify(upsert={"route-table": [route]}, remove={"route-table": [removed]}) == 200
        repeat = send(deployment, host, prefix + "y", edge=number % 2)
        assert runs(deployment, first, repeat) == [1, 0] and repeat.got == first.got


def test_operation_key_runs_once_though_its_route_had_another_class_in_between(deployment):
    first = send(deployment)
    safe = dict(keyed_route(), **{"route-class": "safe"})
    assert deployment.modify(upsert={"route-table": [safe]}) == 200
    assert deployment.modify(upsert={"route-table": [keyed_route()]}) == 200
    repeat = send(deployment, OTHER_HOST)
    assert runs(deployment, first, repeat) == [1, 0] and repeat.got == first.got


def test_one_of_two_tries_at_two_hosts_at_once_runs_and_both_get_its_answer(deployment):
    second = keyed_route("/keyed/elsewhere/", name="second")
    assert deployment.modify(upsert={"route-table": [second]}) == 200
    here = deployment.begin(KEYED, host=HOST, operation_key="shared")
    there = deployment.begin(MOVED_PATH, host=OTHER_HOST, operation_key="shared", edge=1)
    here, there = deployment.finish(here), deployment.finish(there)
    assert sorted(runs(deployment, here, there)) == [0, 1]
    assert {here.status, there.status} <= {200, 409} and 200 in (here.status, there.status)
    answers = {send(deployment).got, send(deployment, OTHER_HOST, MOVED_PATH, edge=1).got}
    assert answers == {here.got if here.status == 200 else there.got}


def test_repeat_at_the_new_host_meets_the_first_run_still_in_progress_and_then_gets_its_answer(monkeypatch):
    """The route moves while the first run is in progress."""
    monkeypatch.setattr(tenant_deployment, "REQUEST_MS", LONG_REQUEST_MS)
    respond, held = jobs.Job.respond, []
    deployment = TenantDeployment()
    slow = keyed_route(host=HOST, **{"guard-ms": LONG_REQUEST_MS})
    assert deployment.modify(upsert={"route-table": [slow]}) == 200
    monkeypatch.setattr(jobs.Job, "respond", lambda job: held.append(job))
    first = deployment.begin(KEYED, host=HOST, operation_key="shared")
    deployment.run_for(RUN_STARTED_MS)
    assert len(held) == 1
    assert deployment.modify(upsert={"route-table": [dict(slow, host=OTHER_HOST)]}) == 200
    early = send(deployment, OTHER_HOST, edge=1)
    monkeypatch.setattr(jobs.Job, "respond", respond)
    respond(held[0])
    deployment.finish(first)
    late = send(deployment, OTHER_HOST, edge=1)
    assert (first.status, early.status, late.status) == (200, 409, 200) and late.got == first.got
    assert runs(deployment, first, early, late) == [1, 0, 0]


@pytest.mark.parametrize("spelling", ["H.EXAMPLE", f"{HOST}:80", "h.Example:8080"])
def test_spellings_of_a_host_share_its_keys(deployment, spelling):
    first = send(deployment)
    repeat = send(deployment, spelling, edge=1)
    assert runs(deployment, first, repeat) == [1, 0] and repeat.got == first.got


def test_tenants_with_the_same_key_stay_apart_through_the_move(deployment):
    first = send(deployment)
    assert deployment.modify(upsert={"route-table": [keyed_route()]}) == 200
    other = send(deployment, OTHER_HOST, key="key-b1", edge=1)
    repeats = [send(deployment, OTHER_HOST, key=key) for key in ("key-a2", "key-b1")]
    assert runs(deployment, first, other) == [1, 1] and other.got != first.got
    assert [repeat.got for repeat in repeats] == [first.got, other.got]


def lose_one_disk(deployment):
    worlds.wipe(deployment.world, deployment.world.of("storage")[0])


def lose_leader(deployment):
    leaders = [daemon for daemon in deployment.world.of("storage") if is_sequencer(daemon.owner.ctx)]
    assert len(leaders) == 1
    worlds.kill(deployment.world, leaders[0], power=True)


def lose_power(deployment):
    for daemon in deployment.world.of("storage"):
        worlds.kill(deployment.world, daemon, power=True)


@pytest.mark.parametrize("loss", [lose_one_disk, lose_leader, lose_power])
def test_operation_key_runs_once_at_another_host_after_a_loss(deployment, loss):
    first = send(deployment)
    assert deployment.modify(upsert={"route-table": [keyed_route()]}) == 200
    loss(deployment)
    start_storage(deployment)
    deployment.run_for(RETURN_MS)
    repeat = send(deployment, OTHER_HOST, edge=1)
    assert runs(deployment, first, repeat) == [1, 0] and (repeat.status, repeat.got) == (200, first.got)


def start_storage(deployment):
    for daemon in deployment.world.of("storage"):
        daemon.host.powered = True
        worlds.start(deployment.world, daemon)


def rules_in_force(deployment):
    return {daemon.owner.ctx.core.ledger.rules for daemon in deployment.world.of("storage")}


def roll(deployment, daemon):
    worlds.kill(deployment.world, daemon)
    deployment.run_for(RESTART_MS)
    start_storage(deployment)
    deployment.run_for(RETURN_MS)


def test_operation_key_runs_once_through_a_roll_from_the_build_before(monkeypatch):
    """At its host throughout; at another one from the moment when no storage daemon has the build before."""
    monkeypatch.setattr(replica_daemon, "PROTOCOL_REVISION", TENANT_KEY_RULES - 1)
    deployment = TenantDeployment()
    second = keyed_route("/keyed/elsewhere/", name="second")
    assert deployment.modify(upsert={"route-table": [second]}) == 200
    assert rules_in_force(deployment) == {TASK_RULES}
    first = send(deployment)
    monkeypatch.setattr(replica_daemon, "PROTOCOL_REVISION", TENANT_KEY_RULES)
    for daemon in deployment.world.of("storage"):
        assert rules_in_force(deployment) == {TASK_RULES}
        roll(deployment, daemon)
        repeat = send(deployment, edge=1)
        assert runs(deployment, first, repeat) == [1, 0] and repeat.got == first.got
    assert rules_in_force(deployment) == {TENANT_KEY_RULES}
    repeat = send(deployment, OTHER_HOST, MOVED_PATH)
    assert runs(deployment, first, repeat) == [1, 0] and repeat.got == first.got


def test_rules_wait_for_a_voter_that_may_return_with_the_build_before(monkeypatch):
    """Guards against replicas of two builds that decide differently on one claim."""
    monkeypatch.setattr(replica_daemon, "PROTOCOL_REVISION", TENANT_KEY_RULES - 1)
    deployment = TenantDeployment()
    absent, *others = deployment.world.of("storage")
    worlds.kill(deployment.world, absent)
    absent.gone = True
    monkeypatch.setattr(replica_daemon, "PROTOCOL_REVISION", TENANT_KEY_RULES)
    for daemon in others:
        worlds.kill(deployment.world, daemon)
        worlds.start(deployment.world, daemon)
        deployment.run_for(RETURN_MS)
    rules = {daemon.owner.ctx.core.ledger.rules for daemon in others}
    assert rules == {TASK_RULES}
    absent.gone = False
    start_storage(deployment)
    deployment.run_for(RETURN_MS)
    assert rules_in_force(deployment) == {TENANT_KEY_RULES}
