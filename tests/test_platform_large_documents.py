"""Large configurations on a whole deployment: outages while they change, restarts, and documents over the limit."""

from types import SimpleNamespace

import pytest
from fleet_simulator import cuts
from fleet_simulator import stage as stages
from fleet_simulator import world as worlds
from fleet_simulator.notes import NEVER_MS, Version
from fleet_simulator.routes import first_document, make_route
from msgspec import json

from frostpost.platform import call_deadlines, control
from frostpost.simulator.plants import patched_attributes

# The changes take more than a link queues (8 MiB), and many of them more than the log holds.
ROUTES, CHANGES, MANY_CHANGES = 3000, 20, 48
DAEMON_LOG = "/{}/log"
# What the stored form of a document adds to it, rounded up.
STORED_FIELDS_BYTES = 4096


def large_document(issue, routes=ROUTES):
    document = first_document()
    added = [dict(make_route(f"/large{number}/", "safe", "tools"), name=f"large{number}") for number in range(routes)]
    return dict(document, issue=issue, **{"route-table": [*document["route-table"], *added]})


class LargeChanges:
    """An operator that replaces one large document by another, again and again."""

    def __init__(self, seed, routes=ROUTES):
        self.document_bytes = len(json.encode(large_document(3, routes)))
        self.world, operators, status, _ = stages.open_(seed, document=large_document(3, routes))
        assert status == 200
        self.operator, self.issue = operators[0], 3

    def change(self, count=1):
        """Change one route of the document, with each change acknowledged before the next."""
        for _ in range(count):
            base, self.issue = self.issue, self.issue + 2
            item = make_route("/moved/", "unsafe", "tools" if self.issue % 4 == 1 else "tools2")
            change = {"issue": self.issue, "upsert": {"route-table": [item]}}
            version = Version(self.issue, base, {}, None, self.world.now_ms())
            status = stages.await_(
                self.world, self.operator.change(version, "Modify", change, NEVER_MS), self.sheet("ack")
            )
            assert status == 200

    def sheet(self, name):
        return self.world.notes.sheet[name]

    def run(self, wait_ms):
        self.world.run(self.world.now_ms() + wait_ms)

    def read_issue(self):
        document = stages.await_(self.world, self.operator.read(), self.sheet("contact"))
        return document and document["issue"]

    def replicas(self):
        return self.world.of("storage")

    def is_complete(self, daemon):
        synchrony = daemon.owner.ctx.core.synchrony
        return synchrony.primary.ready and synchrony.primary.opened and synchrony.recovery is None


@pytest.mark.parametrize("member", (0, 1, 2))
def test_replica_that_missed_large_changes_completes_and_the_configuration_is_read(member):
    """Guards against review/1: once a replica was back after changes of a large document, nothing was served."""
    scenario = LargeChanges(7)
    daemon = scenario.replicas()[member]
    worlds.kill(scenario.world, daemon)
    scenario.change(CHANGES)
    worlds.start(scenario.world, daemon)
    scenario.run(scenario.sheet("contact"))
    assert all(scenario.is_complete(replica) for replica in scenario.replicas())
    assert scenario.read_issue() == scenario.issue
    assert stages.settle(scenario.world, 1000) >= 0


def test_loss_of_a_disk_is_borne_once_another_replica_has_caught_up_with_large_changes():
    scenario = LargeChanges(8)
    returned, wiped = scenario.replicas()[2], scenario.replicas()[1]
    worlds.kill(scenario.world, returned)
    scenario.change(CHANGES)
    worlds.start(scenario.world, returned)
    scenario.run(scenario.sheet("contact"))
    worlds.wipe(scenario.world, wiped)
    scenario.run(scenario.sheet("contact"))
    assert scenario.read_issue() == scenario.issue
    worlds.start(scenario.world, wiped)
    scenario.run(scenario.sheet("recovery"))
    assert all(scenario.is_complete(replica) for replica in scenario.replicas())


def test_all_daemons_start_again_after_many_large_changes_with_a_short_log():
    """Guards against review/3: the log of 200 changes of a large document took more memory than a replica has."""
    scenario, changes = LargeChanges(9, 2 * ROUTES), MANY_CHANGES
    scenario.change(changes)
    for daemon in scenario.replicas():
        log_bytes = len(daemon.disk.names[DAEMON_LOG.format(daemon.name)].data)
        assert log_bytes < 2 * (16 << 20) + 4 * scenario.document_bytes < changes * scenario.document_bytes
    for daemon in scenario.world.daemons.values():
        worlds.kill(scenario.world, daemon, True)
    for daemon in scenario.world.daemons.values():
        worlds.start(scenario.world, daemon)
    assert stages.settle(scenario.world, scenario.sheet("recovery")) >= 0
    assert scenario.read_issue() == scenario.issue


def control_call(scenario, path, change, base):
    caller = cuts.Caller(scenario.world, scenario.world.of("core")[0])
    version = Version(change["issue"], base, {}, None, scenario.world.now_ms())
    return stages.await_(scenario.world, caller.call("POST", path, change, version), 10_000)


def padded(document, document_bytes):
    """The document with a service whose name brings its encoding to this size."""
    rest = document_bytes - len(json.encode(document))
    name = "x" * (rest - len(json.encode(service_named(""))) - 1)
    return dict(document, **{"service-table": [*document["service-table"], service_named(name)]})


def service_named(name):
    return {"name": name, "health-path": "/health", "max-connections": 64, "self-dedup": False}


def test_document_over_the_limit_is_refused_with_the_limit_and_the_next_one_is_taken():
    """Guards against a document that can't be delivered and is answered 503 for ever."""
    scenario = LargeChanges(10, 100)
    document = dict(padded(large_document(5, 100), control.MAX_DOCUMENT_BYTES + 1), issue=5)
    refused = control_call(scenario, "Configuration.Replace", document, 3)
    assert (refused.status, json.decode(refused.got)["max_bytes"]) == (413, control.MAX_DOCUMENT_BYTES)
    scenario.change()
    assert scenario.read_issue() == scenario.issue


def test_change_that_would_bring_the_document_over_the_limit_is_refused_with_the_limit():
    scenario = LargeChanges(11, 100)
    document = padded(large_document(3, 100), control.MAX_DOCUMENT_BYTES + 1)
    change = {"issue": 5, "upsert": {"service-table": document["service-table"][-1:]}}
    assert len(json.encode(change)) < control.MAX_DOCUMENT_BYTES
    refused = control_call(scenario, "Configuration.Modify", change, 3)
    assert (refused.status, json.decode(refused.got)["max_bytes"]) == (413, control.MAX_DOCUMENT_BYTES)
    scenario.change()
    assert scenario.read_issue() == scenario.issue


def test_document_of_the_largest_size_is_taken_by_all_daemons_and_read_back():
    scenario = LargeChanges(12, 100)
    document = dict(padded(large_document(5, 100), control.MAX_DOCUMENT_BYTES - STORED_FIELDS_BYTES), issue=5)
    version = Version(5, 3, {}, None, scenario.world.now_ms())
    changed = scenario.operator.change(version, "Replace", document, NEVER_MS)
    assert stages.await_(scenario.world, changed, 20_000) == 200
    scenario.issue = 5
    assert scenario.read_issue() == 5
    scenario.change()
    assert scenario.read_issue() == scenario.issue
    assert stages.settle(scenario.world, 5000) >= 0


def test_body_over_the_limit_of_bodies_is_refused_unread():
    scenario = LargeChanges(13, 100)
    document = padded(large_document(5, 100), control.CLIENT_BOUNDS.body_bytes + 1)
    assert control_call(scenario, "Configuration.Replace", document, 3).status == 413
    scenario.change()


def test_operation_has_its_time_after_a_large_body_was_parsed():
    """Guards against a call whose time was up before its operation was sent, since parsing took all of it."""
    agent = SimpleNamespace(now_ms=5000)
    with_time = {"now_ms": lambda agent: agent.now_ms, "holds_lease": lambda agent: True}
    with patched_attributes([(call_deadlines, name, value) for name, value in with_time.items()]):
        deadlines = call_deadlines.call_deadlines(agent, 8_000_000, arrived_ms=3000)
        assert call_deadlines.remaining_ms(agent, deadlines.operation_ms) == 500
        assert deadlines.response_ms == 3000 + 800 + 8000
        late = call_deadlines.call_deadlines(agent, 0, arrived_ms=3000)
        assert late.operation_ms == late.response_ms == 3800
