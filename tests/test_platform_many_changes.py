"""Hundreds of changes with snapshots between them, and members that were away: they catch up, and tell nothing old."""

import pytest
from fleet_simulator import cuts
from fleet_simulator import stage as plays
from fleet_simulator import world as worlds
from fleet_simulator.linearizability import linearizable
from fleet_simulator.notes import NEVER_MS

from frostpost.cluster import replica_context as replicas
from frostpost.virtual_synchrony import recovery

CHANGES = 500
SNAPSHOT_ENTRIES = 120
READ_EVERY_MS = 200
LONGEST_MS = 300_000
WAYS_AWAY = ("kill", "power", "wipe", "freeze", "cut")


class Day:
    """One operator makes change after change; another reads from every control daemon all the while."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(replicas, "LOG_ENTRIES", SNAPSHOT_ENTRIES)
        self.world, _, status, _ = plays.open_(5)
        assert status == 200
        self.world.run(self.world.now_ms() + 1000)
        self.operator, self.taken, self.issue = plays.operator_of(self.world, "many"), 0, 3
        self.refused = 0
        self.readers = [cuts.Caller(self.world, daemon, daemon.name) for daemon in self.world.of("core")]
        self.change()
        self.read()

    def change(self):
        """Make the next change once the last one is acknowledged."""
        version = cuts.replacement(self.world, self.issue + 2, self.issue)

        def answered(status):
            if status != 200:
                self.refused = status
                return
            self.taken, self.issue = self.taken + 1, version.issue
            if self.taken < CHANGES:
                self.change()

        self.operator.change(version, "Replace", version.document, NEVER_MS).addCallback(answered)

    def read(self):
        """Read from every control daemon."""
        for reader in self.readers:
            reader.call("GET", "Configuration.Query")
        if self.taken < CHANGES:
            self.world.later(READ_EVERY_MS, self.read)

    def run_until(self, reached):
        """Run until something holds; -> ms that took. No change may be refused meanwhile."""
        from_ms = self.world.now_ms()
        while not reached():
            assert self.refused == 0
            assert self.world.now_ms() < from_ms + LONGEST_MS
            self.world.run(self.world.now_ms() + 20)
        return self.world.now_ms() - from_ms

    def run_to(self, taken):
        """Run until this many changes were taken."""
        self.run_until(lambda: self.taken >= taken)

    def caught_up(self, daemon):
        """Whether a member is refilled, and behind the others by no more than what is under way."""
        others = [other for other in self.world.of("storage") if other is not daemon]
        core = daemon.owner and daemon.owner.ctx.core
        if not core or not core.synchrony.primary.ready or not core.synchrony.primary.opened:
            return False
        newest = max(other.owner.ctx.core.ledger.program_ledger.routing_version for other in others)
        return core.ledger.program_ledger.routing_version >= newest - 2

    def check(self):
        """All members hold the same newest state, in few log entries, and every answer fits one register."""
        self.world.run(self.world.now_ms() + 1000)
        cores = [daemon.owner.ctx.core for daemon in self.world.of("storage")]
        assert {core.ledger.program_ledger.routing_version for core in cores} == {self.issue}
        assert {len(core.ledger.program_ledger.taken) for core in cores} == {CHANGES + 1}
        assert max(len(core.synchrony.log.entries) for core in cores) <= 2 * SNAPSHOT_ENTRIES
        assert [b.text for b in linearizable(self.world.notes.versions, self.world.notes.control_calls)] == []


def lose(world, daemon, way):
    """Take a member away; -> what brings it back."""
    if way == "freeze":
        daemon.host.freeze()
        return daemon.host.thaw
    if way == "cut":
        pairs = cuts.pairs_of(world, [daemon])
        world.net.cuts |= pairs
        return lambda: world.net.cuts.difference_update(pairs)
    if way == "wipe":
        worlds.wipe(world, daemon)
    else:
        worlds.kill(world, daemon, way == "power")
    return lambda: worlds.start(world, daemon)


@pytest.mark.parametrize("way", WAYS_AWAY)
@pytest.mark.parametrize("member", [0, 1])
def test_a_member_away_for_hundreds_of_changes_catches_up_in_time(monkeypatch, member, way):
    day = Day(monkeypatch)
    daemon = day.world.of("storage")[member]
    day.run_to(50)
    back = lose(day.world, daemon, way)
    day.run_to(400)
    back()
    assert day.run_until(lambda: day.caught_up(daemon)) <= day.world.notes.sheet["contact"]
    day.run_to(CHANGES)
    day.check()


@pytest.mark.parametrize("way", WAYS_AWAY)
def test_every_member_in_turn_is_away_between_snapshots(monkeypatch, way):
    day = Day(monkeypatch)
    members = day.world.of("storage")
    for step, at in enumerate(range(20, CHANGES - 40, 37)):
        day.run_to(at)
        daemon = members[step % len(members)]
        back = lose(day.world, daemon, way)
        day.run_to(at + 7)
        back()
        assert day.run_until(lambda daemon=daemon: day.caught_up(daemon)) <= day.world.notes.sheet["contact"]
    day.run_to(CHANGES)
    day.check()


def test_all_restart_after_hundreds_of_changes_with_the_newest_state(monkeypatch):
    day = Day(monkeypatch)
    day.run_to(CHANGES)
    for daemon in day.world.daemons.values():
        worlds.kill(day.world, daemon, True)
    for number, daemon in enumerate(day.world.daemons.values()):
        day.world.later(300 + 97 * number, worlds.start, day.world, daemon)
    day.world.run(day.world.now_ms() + 300 + 97 * len(day.world.daemons))
    assert plays.settle(day.world, day.world.notes.sheet["recovery"]) >= 0
    assert plays.await_(day.world, day.operator.read(), 5000)["issue"] == day.issue
    day.check()


def believe_the_shortest(monkeypatch):
    """Plant: of the members that meet, the one with the shortest log is taken to hold the newest state."""
    judge = recovery.decide_primary

    def judged(plan):
        found, memories = judge(plan), {name: said.durable_state for name, said in plan.items() if said.durable_state}
        if found.eligible and memories:
            found.donor = min(memories, key=lambda name: memories[name].length)
            found.base = memories[found.donor].length
        return found

    monkeypatch.setattr(recovery, "decide_primary", judged)


def test_a_returning_member_whose_old_state_is_believed_is_found(monkeypatch):
    believe_the_shortest(monkeypatch)
    with pytest.raises(AssertionError):
        test_a_member_away_for_hundreds_of_changes_catches_up_in_time(monkeypatch, 0, "kill")
