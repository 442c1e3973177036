"""Changes of tenants' credentials are in force at every edge within the apply time, whatever fails meanwhile."""

from random import Random

import pytest
from fleet_simulator import cuts, stage
from fleet_simulator import world as worlds
from fleet_simulator.crowd import Crowd
from fleet_simulator.notes import Version
from fleet_simulator.routes import first_document, make_route, paths_of
from fleet_simulator.runners import RunnerConnection

UNTIL_MS = 1e12
RESPONSE_WAIT_MS = 3000
CUT_MS = 20000
TENANTS = [
    {"name": f"t{number}", "credentials": [f"secret-{number}-a", f"secret-{number}-b"], "precedence": 1}
    for number in range(24)
]


def tenant(name, *credentials):
    return {"name": name, "credentials": list(credentials), "precedence": 1}


def open_route():
    return make_route("/open/", "safe", "tools", keyless=True)


def document_with_tenants():
    document = first_document()
    return {**document, "issue": 5, "route-table": [*document["route-table"], open_route()], "subscribers": TENANTS}


class Deployment:
    """A deployment with tenants, and the (attempt, tenant, has a credential) of each request that reached a runner."""

    def __init__(self, monkeypatch, shape=None):
        self.received = []
        request_received = RunnerConnection.request_received

        def record(connection, message):
            fields = message.fields
            self.received.append(
                (
                    fields[b"x-attempt-id"].decode(),
                    fields.get(b"x-subscriber", b"").decode(),
                    b"authorization" in fields,
                )
            )
            request_received(connection, message)

        monkeypatch.setattr(RunnerConnection, "request_received", record)
        self.world, (self.operator, _), status, _ = stage.open_(11, shape)
        assert status == 200 and self.send("Replace", document_with_tenants(), 3) == 200

    def send(self, kind, change, base):
        """Send a change until its response is conclusive; returns the status."""
        world, version = self.world, Version(change["issue"], base, paths_of(first_document()), {}, 0)
        status = stage.await_(world, self.operator.change(version, kind, change, UNTIL_MS), 20000)
        self.applied_ms = world.now_ms() + world.notes.sheet["apply"]
        return status

    def modify(self, issue, base, upsert=(), remove=()):
        return self.send(
            "Modify", {"issue": issue, "upsert": {"subscribers": upsert}, "remove": {"subscribers": remove}}, base
        )

    def play(self, fault):
        """Inject a fault and let the contact time pass once all edges are ready again."""
        fault(self.world)
        assert stage.settle(self.world, 15000) >= 0
        self.applied_ms = max(self.applied_ms, self.world.now_ms() + self.world.notes.sheet["contact"])

    def statuses(self, credential, path="/safe/a", edges=()):
        """Send a request with a credential to each edge once the last change is due. Returns the statuses."""
        world = self.world
        world.run(max(world.now_ms(), self.applied_ms))
        tries = [self.request(edge, credential, path) for edge in edges or world.of("edge")]
        world.run(world.now_ms() + RESPONSE_WAIT_MS)
        self.tries = {request.try_id for request in tries}
        return {request.status for request in tries}

    def request(self, edge, credential, path):
        host, world = edge.host, self.world
        crowd = Crowd(
            world.callers, world.notes, Random(1), lambda _: [(host.address, worlds.FRONT)], world.zones, edge.name
        )
        request = crowd.make(path, "")
        request.try_id += str(len(world.notes.tries))
        if credential is not None:
            request.headers.append((b"Authorization", b"Bearer " + credential.encode()))
        crowd.once(edge.zone, request, fresh=True)
        return request

    def tenants_at_runners(self):
        """Return the (tenant, has a credential) of the last requests that reached a runner."""
        return {(name, has_credential) for try_id, name, has_credential in self.received if try_id in self.tries}


@pytest.fixture
def deployment(monkeypatch):
    return Deployment(monkeypatch)


def test_credential_that_is_missing_or_unknown_is_refused_at_every_edge(deployment):
    assert deployment.statuses("secret-3-b") == {200} and deployment.tenants_at_runners() == {("t3", False)}
    assert deployment.statuses(None) == {401} and deployment.tenants_at_runners() == set()
    assert deployment.statuses("secret-3-c") == {401} and deployment.tenants_at_runners() == set()
    assert deployment.statuses(None, "/open/a") == {200}


def kill_a_core_daemon(world):
    worlds.kill(world, world.of("core")[0])


def restart_edges(world):
    for edge in world.of("edge"):
        worlds.kill(world, edge)
        world.later(100, worlds.start, world, edge)


def kill_a_storage_daemon(world):
    storage = world.of("storage")[0]
    worlds.kill(world, storage)
    world.later(2000, worlds.start, world, storage)


def lose_all_power(world):
    for daemon in world.of("storage", "core", "edge"):
        worlds.kill(world, daemon, power=True)
        daemon.host.powered = True
        world.later(500, worlds.start, world, daemon)


@pytest.mark.parametrize(
    "fault",
    [None, kill_a_core_daemon, restart_edges, kill_a_storage_daemon, lose_all_power],
    ids=lambda fault: str(fault and fault.__name__),
)
def test_removed_credential_is_refused_and_an_added_one_served_after_the_apply_time(deployment, fault):
    assert deployment.modify(9, 5, [tenant("t5", "secret-5-b", "secret-5-c")], ["t6"]) == 200
    if fault is not None:
        deployment.play(fault)
    assert deployment.statuses("secret-5-c") == {200} and deployment.tenants_at_runners() == {("t5", False)}
    assert deployment.statuses("secret-7-a") == {200} and deployment.tenants_at_runners() == {("t7", False)}
    for removed in ("secret-5-a", "secret-6-a", "secret-6-b"):
        assert deployment.statuses(removed) == {401} and deployment.tenants_at_runners() == set()


def test_credential_that_moved_to_another_tenant_is_that_tenants_at_every_edge(deployment):
    moved = "secret-2-a"
    assert deployment.modify(9, 5, [tenant("t2", "secret-2-b"), tenant("t3", "secret-3-a", moved)]) == 200
    assert deployment.statuses(moved) == {200} and deployment.tenants_at_runners() == {("t3", False)}
    assert deployment.modify(10, 9, [tenant("t3", "secret-3-a")]) == 200 and deployment.statuses(moved) == {401}
    assert deployment.modify(17, 10, [tenant("t2", moved)]) == 200 and deployment.statuses(moved) == {200}
    assert deployment.tenants_at_runners() == {("t2", False)}


def test_no_credential_is_taken_after_the_last_tenant_was_removed(deployment):
    assert deployment.modify(9, 5, remove=[item["name"] for item in TENANTS]) == 200
    assert deployment.statuses("secret-3-b") == {401} and deployment.statuses(None) == {401}
    assert deployment.statuses(None, "/open/a") == {200} and deployment.received[-1][2] is False


def test_edge_that_was_cut_off_neither_refuses_an_added_credential_nor_serves_a_removed_one(deployment):
    world, edge = deployment.world, deployment.world.of("edge")[:1]
    cuts.cut(world, edge, CUT_MS)
    assert deployment.modify(9, 5, [tenant("t5", "secret-5-b", "secret-5-c")]) == 200
    for credential in ("secret-5-a", "secret-5-c"):
        assert deployment.statuses(credential, edges=edge) == {503} and deployment.tenants_at_runners() == set()
    deployment.applied_ms = world.now_ms() + CUT_MS + world.notes.sheet["contact"]
    assert deployment.statuses("secret-5-c", edges=edge) == {200} and deployment.tenants_at_runners() == {("t5", False)}
    assert deployment.statuses("secret-5-a", edges=edge) == {401} and deployment.tenants_at_runners() == set()


def test_series_of_removed_credentials_is_in_force_after_the_leader_was_killed_between_them(deployment):
    world, base, removed = deployment.world, 5, []
    for number in range(6):
        name, remaining = f"t{number}", f"secret-{number}-b"
        assert deployment.modify(base + 2, base, [tenant(name, remaining)]) == 200
        base, removed = base + 2, [*removed, f"secret-{number}-a"]
        if number % 2 == 0:
            replica = cuts.leader(world)
            worlds.kill(world, replica)
            world.later(1000, worlds.start, world, replica)
    world.run(world.now_ms() + world.notes.sheet["contact"])
    assert [deployment.statuses(credential) for credential in removed] == [{401}] * len(removed)
    assert deployment.statuses("secret-0-b") == {200} and deployment.tenants_at_runners() == {("t0", False)}
