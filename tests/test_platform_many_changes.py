"""Guards against stale state: replicas that missed hundreds of changes and several snapshots catch up."""

import pytest
from fleet_simulator import cuts
from fleet_simulator import stage as stages
from fleet_simulator import world as worlds
from fleet_simulator.linearizability import linearizable
from fleet_simulator.notes import NEVER_MS

from frostpost.cluster import replica_context as replicas
from frostpost.virtual_synchrony import recovery

CHANGES = 500
SNAPSHOT_ENTRIES = 120
READ_EVERY_MS = 200
MAX_WAIT_MS = 300_000
OUTAGES = ("kill", "power", "wipe", "freeze", "cut")


class ChangeScenario:
    """An operator makes one change after another while all control daemons are read periodically."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(replicas, "LOG_ENTRIES", SNAPSHOT_ENTRIES)
        self.world, _, status, _ = stages.open_(5)
        assert status == 200
        self.world.run(self.world.now_ms() + 1000)
        self.operator, self.applied_count, self.issue = stages.operator_of(self.world, "many"), 0, 3
        self.error_status = 0
        self.readers = [cuts.Caller(self.world, daemon, daemon.name) for daemon in self.world.of("core")]
        self.change()
        self.read()

    def change(self):
        """Make the next change, and again once it is acknowledged."""
        version = cuts.replacement(self.world, self.issue + 2, self.issue)

        def on_response(status):
            if status != 200:
                self.error_status = status
                return
            self.applied_count, self.issue = self.applied_count + 1, version.issue
            if self.applied_count < CHANGES:
                self.change()

        self.operator.change(version, "Replace", version.document, NEVER_MS).addCallback(on_response)

    def read(self):
        """Read from every control daemon."""
        for reader in self.readers:
            reader.call("GET", "Configuration.Query")
        if self.applied_count < CHANGES:
            self.world.later(READ_EVERY_MS, self.read)

    def run_until(self, condition):
        """Run until a condition holds, with no change refused. Returns the milliseconds taken."""
        started_ms = self.world.now_ms()
        while not condition():
            assert self.error_status == 0
            assert self.world.now_ms() < started_ms + MAX_WAIT_MS
            self.world.run(self.world.now_ms() + 20)
        return self.world.now_ms() - started_ms

    def run_until_applied(self, applied_count):
        """Run until this many changes have been applied."""
        self.run_until(lambda: self.applied_count >= applied_count)

    def has_caught_up(self, daemon):
        """Return whether a replica has recovered and is behind the others by no more than the changes in progress."""
        others = [other for other in self.world.of("storage") if other is not daemon]
        core = daemon.owner and daemon.owner.ctx.core
        if not core or not core.synchrony.primary.ready or not core.synchrony.primary.opened:
            return False
        newest_version = max(other.owner.ctx.core.ledger.program_ledger.routing_version for other in others)
        return core.ledger.program_ledger.routing_version >= newest_version - 2

    def check(self):
        """Check that all replicas have the newest state, a compacted log and a linearizable history."""
        self.world.run(self.world.now_ms() + 1000)
        cores = [daemon.owner.ctx.core for daemon in self.world.of("storage")]
        assert {core.ledger.program_ledger.routing_version for core in cores} == {self.issue}
        assert {len(core.ledger.program_ledger.taken) for core in cores} == {CHANGES + 1}
        assert max(len(core.synchrony.log.entries) for core in cores) <= 2 * SNAPSHOT_ENTRIES
        assert [
            violation.text for violation in linearizable(self.world.notes.versions, self.world.notes.control_calls)
        ] == []


def interrupt(world, daemon, outage):
    """Start an outage of a replica. Returns the function that ends it."""
    if outage == "freeze":
        daemon.host.freeze()
        return daemon.host.thaw
    if outage == "cut":
        pairs = cuts.pairs_of(world, [daemon])
        world.net.cuts |= pairs
        return lambda: world.net.cuts.difference_update(pairs)
    if outage == "wipe":
        worlds.wipe(world, daemon)
    else:
        worlds.kill(world, daemon, outage == "power")
    return lambda: worlds.start(world, daemon)


@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("member", [0, 1])
def test_replica_catches_up_in_time_after_hundreds_of_changes(monkeypatch, member, outage):
    scenario = ChangeScenario(monkeypatch)
    daemon = scenario.world.of("storage")[member]
    scenario.run_until_applied(50)
    restore = interrupt(scenario.world, daemon, outage)
    scenario.run_until_applied(400)
    restore()
    assert scenario.run_until(lambda: scenario.has_caught_up(daemon)) <= scenario.world.notes.sheet["contact"]
    scenario.run_until_applied(CHANGES)
    scenario.check()


@pytest.mark.parametrize("outage", OUTAGES)
def test_replicas_catch_up_after_outages_between_snapshots(monkeypatch, outage):
    scenario = ChangeScenario(monkeypatch)
    members = scenario.world.of("storage")
    for index, target_count in enumerate(range(20, CHANGES - 40, 37)):
        scenario.run_until_applied(target_count)
        daemon = members[index % len(members)]
        restore = interrupt(scenario.world, daemon, outage)
        scenario.run_until_applied(target_count + 7)
        restore()
        assert (
            scenario.run_until(lambda daemon=daemon: scenario.has_caught_up(daemon))
            <= scenario.world.notes.sheet["contact"]
        )
    scenario.run_until_applied(CHANGES)
    scenario.check()


def test_newest_state_survives_a_restart_of_all_daemons(monkeypatch):
    scenario = ChangeScenario(monkeypatch)
    scenario.run_until_applied(CHANGES)
    for daemon in scenario.world.daemons.values():
        worlds.kill(scenario.world, daemon, True)
    for number, daemon in enumerate(scenario.world.daemons.values()):
        scenario.world.later(300 + 97 * number, worlds.start, scenario.world, daemon)
    scenario.world.run(scenario.world.now_ms() + 300 + 97 * len(scenario.world.daemons))
    assert stages.settle(scenario.world, scenario.world.notes.sheet["recovery"]) >= 0
    assert stages.await_(scenario.world, scenario.operator.read(), 5000)["issue"] == scenario.issue
    scenario.check()


def choose_the_shortest_log(monkeypatch):
    """Mutation: recover from the replica with the shortest log instead of the newest state."""
    decide = recovery.decide_primary

    def decide_wrongly(plan):
        decision, durable_states = (
            decide(plan),
            {name: reply.durable_state for name, reply in plan.items() if reply.durable_state},
        )
        if decision.eligible and durable_states:
            decision.donor = min(durable_states, key=lambda name: durable_states[name].length)
            decision.base = durable_states[decision.donor].length
        return decision

    monkeypatch.setattr(recovery, "decide_primary", decide_wrongly)


def test_recovery_from_a_stale_replica_is_detected(monkeypatch):
    choose_the_shortest_log(monkeypatch)
    with pytest.raises(AssertionError):
        test_replica_catches_up_in_time_after_hundreds_of_changes(monkeypatch, 0, "kill")
