"""A machine that is cut off, frozen or slow for twenty seconds: what the others do meanwhile, and its return."""

from random import Random

import pytest
from fleet_simulator import bearing, machines, troubles
from fleet_simulator import machine_cuts as cuts
from fleet_simulator import stage as plays
from fleet_simulator import world as worlds
from fleet_simulator.config import handled, reverts
from fleet_simulator.leases import LeaseMonitor, forwarded_past_lease
from fleet_simulator.notes import Isolation
from fleet_simulator.plants import planted
from fleet_simulator.shapes import SHAPES

from frostpost.cluster import agent_sessions
from frostpost.cluster.lease_client import holds_lease

LONG_MS, DETECT_MS, LEASE_MS, CONTACT_MS, STEP_MS = 20000, 500, 1200, 3000, 20
# Detection, a proposal, its exchange and the first grants.
GAP_MS = DETECT_MS + 300


class Day:
    """A deployment under light traffic, whose operator changes the configuration all the time."""

    def __init__(self, shape="three", seed=5):
        self.world, self.operators, status, took_ms = plays.open_(seed, SHAPES[shape])
        assert status == 200 and took_ms >= 0
        self.random, self.crowd = Random(seed), plays.crowd_of(self.world, "c")
        self.world.operators, self.world.crowd = self.operators, self.crowd
        for edge in self.world.of("edge"):
            plays.probe(self.world, self.crowd, edge)
        self.monitor = LeaseMonitor(self.world)
        self.monitor.watch()
        self.crowd.arrive(self.world.now_ms() + LONG_MS + 8000, 400)
        self.change()
        self.run(2000)

    def change(self):
        self.operators[0].modify(self.world.now_ms() + 6000)
        self.world.later(2500, self.change)

    def run(self, for_ms):
        self.world.run(self.world.now_ms() + for_ms)

    def whole(self):
        """All replicas stand in one configuration that serves, and all edges are ready."""
        live = [d for d in self.world.of("storage")]
        if any(d.owner is None or d.owner.ctx.core is None for d in live):
            return False
        synchronies = [d.owner.ctx.core.synchrony for d in live]
        one = len({s.configuration.id for s in synchronies}) == 1
        members = all(len(s.configuration.members) == len(live) for s in synchronies)
        edges = all(plays.ready(self.world, d) for d in self.world.of("edge"))
        return one and members and edges and any(agent_sessions.is_sequencer(d.owner.ctx) for d in live)

    def gap_ms(self, for_ms, away):
        """The longest time that none but the machines in `away` led, while the day goes on."""
        until_ms, had_ms, longest_ms = self.world.now_ms() + for_ms, self.world.now_ms(), 0.0
        while self.world.now_ms() < until_ms:
            self.run(STEP_MS)
            here = [d for d in self.world.of("storage") if d not in away and d.owner is not None and d.owner.ctx.core]
            if any(agent_sessions.is_sequencer(d.owner.ctx) for d in here):
                had_ms = self.world.now_ms()
            longest_ms = max(longest_ms, self.world.now_ms() - had_ms)
        return longest_ms

    def served(self, since_ms, until_ms, edges):
        """The share of requests, sent in a span to these edges, that got an answer of a runner or of the budget."""
        addresses = {d.host.address for d in edges}
        sent = [t for t in self.world.notes.tries if since_ms <= t.sent_ms < until_ms and t.edge in addresses]
        sent = [t for t in sent if t.uri[:2] not in ("/v", "/m", "/b") and t.why != "gave up"]
        return sum(t.whole and t.status in (200, 402, 409) for t in sent) / max(1, len(sent))

    def back_ms(self):
        """How long it takes until all is whole again."""
        from_ms = self.world.now_ms()
        while not self.whole() and self.world.now_ms() < from_ms + 10000:
            self.run(STEP_MS)
        return self.world.now_ms() - from_ms

    def faults(self):
        tries = {t.try_id: t for t in self.world.notes.tries}
        found = [*self.monitor.broken, *forwarded_past_lease(self.world, tries), *handled(self.world, tries)]
        return [b.text for b in (*found, *reverts(self.world, tries))]

    def read_everywhere(self):
        """Each control machine tells the newest acknowledged version."""
        self.run(500)
        newest = max(v.issue for v in self.world.notes.versions if v.acked_ms >= 0)
        for control in self.world.of("core"):
            asker = plays.operator_of(self.world, f"r{control.name}")
            asker.controls = lambda at=control: [(at.host.address, worlds.CONTROL)]
            document = plays.await_(self.world, asker.read(self.world.now_ms() + 3000), 4000)
            assert document is not None and document["issue"] >= newest


def isolate(day, daemon, direction="both", for_ms=LONG_MS):
    """Cut a counted machine off from the other counted ones."""
    here = [daemon.host.address]
    there = [d.host.address for d in cuts.counted(day.world) if d is not daemon]
    out, into = {(a, b) for a in here for b in there}, {(b, a) for a in here for b in there}
    pairs = {"both": out | into, "out": out, "in": into}[direction]
    cuts.cut(day.world, pairs, troubles.begin(day.world, "core cut", [daemon.name]), for_ms)


def judge_return(day, started_ms, away, gap_ms):
    others = [d for d in day.world.of("edge") if d not in away]
    assert gap_ms <= GAP_MS
    assert day.served(started_ms + 1500, started_ms + LONG_MS, others) > 0.8
    assert day.back_ms() <= CONTACT_MS
    order = day.operators[1].modify(day.world.now_ms() + 4000)
    assert plays.await_(day.world, order, 5000) in (200, 400, 412)
    day.read_everywhere()
    assert day.faults() == []


@pytest.mark.parametrize("direction", ["both", "out", "in"])
@pytest.mark.parametrize("role", ["storage", "core"])
def test_the_leader_is_cut_off_from_the_counted_machines(role, direction):
    day = Day()
    daemon, started_ms = bearing.leader(day.world, role), day.world.now_ms()
    isolate(day, daemon, direction)
    judge_return(day, started_ms, [daemon], day.gap_ms(LONG_MS + 10, [daemon]))


@pytest.mark.parametrize("how", ["reader", "seed", "follower"])
def test_another_machine_is_cut_off(how):
    day = Day()
    started_ms, leader = day.world.now_ms(), bearing.leader(day.world, "storage")
    found = {
        "reader": lambda: bearing.reader(day.world),
        "seed": lambda: bearing.seeds(day.world)[0],
        "follower": lambda: next(d for d in day.world.of("storage") if d is not leader),
    }[how]()
    if found.role == "edge":
        pairs = cuts.pairs_between(day.random, [found.host.address], cuts.addresses(cuts.counted(day.world)), False)
        cuts.cut(day.world, pairs, troubles.begin(day.world, "cut", [found.name]), LONG_MS)
        day.world.notes.isolations.append(Isolation(found.host.address, started_ms, started_ms + LONG_MS))
    else:
        isolate(day, found)
    day.run(LEASE_MS + 100)
    assert found.role == "storage" or not holds_lease(found.owner)
    judge_return(day, started_ms, [found], day.gap_ms(LONG_MS - LEASE_MS - 90, [found]))


@pytest.mark.parametrize("others_too", [False, True])
@pytest.mark.parametrize("role", ["storage", "core"])
def test_the_machine_that_is_cut_off_is_restarted_inside_the_cut(role, others_too):
    day = Day()
    daemon, started_ms = bearing.leader(day.world, role), day.world.now_ms()
    isolate(day, daemon)
    day.world.later(6000, worlds.kill, day.world, daemon, others_too)
    day.world.later(6500, worlds.start, day.world, daemon)
    others = [d for d in cuts.counted(day.world) if d is not daemon]
    if others_too:
        day.world.later(9000, cuts.restart_all, day.world, day.random, others)
    gap_ms = day.gap_ms(LONG_MS + 10, [daemon])
    if others_too:
        assert gap_ms <= 900 + GAP_MS
        gap_ms = 0.0
    judge_return(day, started_ms, [daemon], gap_ms)


def test_two_are_cut_off_one_after_the_other_and_their_cuts_overlap():
    day = Day("two")
    started_ms, first = day.world.now_ms(), bearing.leader(day.world, "storage")
    isolate(day, first, "both", LONG_MS)
    day.run(7000)
    second = bearing.leader(day.world, "storage")
    second = second if second is not first else next(d for d in day.world.of("storage") if d is not first)
    isolate(day, second, "both", LONG_MS - 7000)
    judge_return(day, started_ms, [first, second], day.gap_ms(LONG_MS - 6990, [first, second]))


@pytest.mark.parametrize("role", ["storage", "core"])
def test_the_leader_stands_still(role):
    day = Day()
    daemon, started_ms = bearing.leader(day.world, role), day.world.now_ms()
    trouble = troubles.begin(day.world, "freeze", [daemon.name])
    daemon.host.freeze()
    day.world.later(LONG_MS, troubles.thaw, day.world, daemon, daemon.host.life, trouble)
    judge_return(day, started_ms, [daemon], day.gap_ms(LONG_MS + 10, [daemon]))


@pytest.mark.parametrize("delay_ms", [60, 3000])
def test_the_leaders_disk_is_slow(delay_ms):
    day = Day()
    daemon, started_ms = bearing.leader(day.world, "storage"), day.world.now_ms()
    trouble = troubles.begin(day.world, "slow disk", [daemon.name])
    daemon.drive.delay_ms = delay_ms
    day.world.later(LONG_MS, troubles.disk_well, day.world, daemon, trouble)
    gap_ms = day.gap_ms(LONG_MS + 10, [])
    while trouble.until_ms > day.world.now_ms():
        day.run(STEP_MS)
    judge_return(day, started_ms, [], gap_ms)


@pytest.mark.parametrize("step_s", [-3600.0, -2.0, 2.0, 3600.0])
def test_a_step_of_the_time_of_day_changes_nothing(step_s):
    day = Day()
    started_ms = day.world.now_ms()
    for daemon in day.world.daemons.values():
        if day.random.random() < 0.5:
            daemon.wall_offset_s += step_s
            day.world.later(LONG_MS, machines.step_back, daemon, step_s)
    judge_return(day, started_ms, [], day.gap_ms(LONG_MS + 10, []))


def test_an_order_at_the_very_moment_of_the_return_is_taken_or_refused_by_the_newest_state():
    day = Day()
    daemon = bearing.leader(day.world, "core")
    isolate(day, daemon)
    day.run(LONG_MS)
    asker = plays.operator_of(day.world, "m")
    asker.controls = lambda: [(daemon.host.address, worlds.CONTROL)]
    assert plays.await_(day.world, asker.modify(day.world.now_ms() + 4000), 5000) in (200, 400, 412)
    assert day.back_ms() <= CONTACT_MS
    assert day.faults() == []


def edge_beside_the_old_leader(plant):
    """The leader and an edge are cut off together while the operator goes on; -> what the lease monitor saw."""
    with planted(plant):
        day = Day()
        leader, edge = bearing.leader(day.world, "storage"), day.world.of("edge")[0]
        side = [leader, edge]
        rest = [d for d in day.world.daemons.values() if d not in side]
        pairs = cuts.pairs_between(day.random, cuts.addresses(side), cuts.addresses(rest), False)
        cuts.cut(day.world, pairs, troubles.begin(day.world, "core cut", [d.name for d in side]), 6000)
        for number in range(24):
            asker = plays.operator_of(day.world, f"o{number}")
            day.world.later(number * 120, asker.modify, day.world.now_ms() + 5000)
        day.run(9000)
        assert max(v.acked_ms for v in day.world.notes.versions) > day.world.now_ms() - 9000
        return {b.rule for b in day.monitor.broken}


def test_an_edge_beside_the_old_leader_serves_by_nothing_older_than_was_acknowledged():
    assert edge_beside_the_old_leader("") == set()


@pytest.mark.parametrize("plant", ["lease_stretched", "leases_not_waited_out"])
def test_a_planted_fault_of_the_leases_is_seen(plant):
    assert edge_beside_the_old_leader(plant) == {"LEASE"}
