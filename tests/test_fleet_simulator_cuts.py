"""A deployment keeps serving while a machine is partitioned, frozen or slow, and recovers when it returns."""

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
# Covers failure detection, reconfiguration and the first lease grants.
LEADERLESS_LIMIT_MS = DETECT_MS + 300


class Fleet:
    """Fleet under light traffic whose operator changes the configuration every 2.5 s."""

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
        self.modify_repeatedly()
        self.run(2000)

    def modify_repeatedly(self):
        self.operators[0].modify(self.world.now_ms() + 6000)
        self.world.later(2500, self.modify_repeatedly)

    def run(self, for_ms):
        self.world.run(self.world.now_ms() + for_ms)

    def recovered(self):
        """Return whether all replicas share one configuration with a sequencer and all edges are ready."""
        live = [d for d in self.world.of("storage")]
        if any(d.owner is None or d.owner.ctx.core is None for d in live):
            return False
        synchronies = [d.owner.ctx.core.synchrony for d in live]
        same_configuration = len({s.configuration.id for s in synchronies}) == 1
        members = all(len(s.configuration.members) == len(live) for s in synchronies)
        edges = all(plays.ready(self.world, d) for d in self.world.of("edge"))
        return same_configuration and members and edges and any(agent_sessions.is_sequencer(d.owner.ctx) for d in live)

    def leaderless_ms(self, for_ms, excluded):
        """Run for a while; return the longest time without a sequencer outside `excluded`."""
        until_ms, last_led_ms, longest_ms = self.world.now_ms() + for_ms, self.world.now_ms(), 0.0
        while self.world.now_ms() < until_ms:
            self.run(STEP_MS)
            others = [
                d for d in self.world.of("storage") if d not in excluded and d.owner is not None and d.owner.ctx.core
            ]
            if any(agent_sessions.is_sequencer(d.owner.ctx) for d in others):
                last_led_ms = self.world.now_ms()
            longest_ms = max(longest_ms, self.world.now_ms() - last_led_ms)
        return longest_ms

    def served(self, since_ms, until_ms, edges):
        """Return the share of requests sent to these edges in a time span that completed with 200, 402 or 409."""
        addresses = {d.host.address for d in edges}
        sent = [t for t in self.world.notes.tries if since_ms <= t.sent_ms < until_ms and t.edge in addresses]
        sent = [t for t in sent if t.uri[:2] not in ("/v", "/m", "/b") and t.why != "gave up"]
        return sum(t.whole and t.status in (200, 402, 409) for t in sent) / max(1, len(sent))

    def recovery_ms(self):
        """Run until the deployment has recovered; return the elapsed milliseconds."""
        from_ms = self.world.now_ms()
        while not self.recovered() and self.world.now_ms() < from_ms + 10000:
            self.run(STEP_MS)
        return self.world.now_ms() - from_ms

    def violations(self):
        tries = {t.try_id: t for t in self.world.notes.tries}
        found = [*self.monitor.broken, *forwarded_past_lease(self.world, tries), *handled(self.world, tries)]
        return [violation.text for violation in (*found, *reverts(self.world, tries))]

    def read_everywhere(self):
        """Check that every core returns the newest acknowledged version."""
        self.run(500)
        newest = max(v.issue for v in self.world.notes.versions if v.acked_ms >= 0)
        for control in self.world.of("core"):
            operator = plays.operator_of(self.world, f"r{control.name}")
            operator.controls = lambda core=control: [(core.host.address, worlds.CONTROL)]
            document = plays.await_(self.world, operator.read(self.world.now_ms() + 3000), 4000)
            assert document is not None and document["issue"] >= newest


def isolate(fleet, daemon, direction="both", for_ms=LONG_MS):
    """Partition a storage or core machine from the other ones."""
    sources = [daemon.host.address]
    peers = [d.host.address for d in cuts.storage_and_cores(fleet.world) if d is not daemon]
    outward, inward = {(src, dst) for src in sources for dst in peers}, {(dst, src) for src in sources for dst in peers}
    pairs = {"both": outward | inward, "out": outward, "in": inward}[direction]
    cuts.cut(fleet.world, pairs, troubles.begin(fleet.world, "core cut", [daemon.name]), for_ms)


def assert_served_and_healed(fleet, started_ms, excluded, leaderless_ms):
    others = [d for d in fleet.world.of("edge") if d not in excluded]
    assert leaderless_ms <= LEADERLESS_LIMIT_MS
    assert fleet.served(started_ms + 1500, started_ms + LONG_MS, others) > 0.8
    assert fleet.recovery_ms() <= CONTACT_MS
    order = fleet.operators[1].modify(fleet.world.now_ms() + 4000)
    assert plays.await_(fleet.world, order, 5000) in (200, 400, 412)
    fleet.read_everywhere()
    assert fleet.violations() == []


@pytest.mark.parametrize("direction", ["both", "out", "in"])
@pytest.mark.parametrize("role", ["storage", "core"])
def test_service_continues_when_the_leader_is_partitioned(role, direction):
    fleet = Fleet()
    daemon, started_ms = bearing.leader(fleet.world, role), fleet.world.now_ms()
    isolate(fleet, daemon, direction)
    assert_served_and_healed(fleet, started_ms, [daemon], fleet.leaderless_ms(LONG_MS + 10, [daemon]))


@pytest.mark.parametrize("how", ["reader", "seed", "follower"])
def test_service_continues_when_another_machine_is_partitioned(how):
    fleet = Fleet()
    started_ms, leader = fleet.world.now_ms(), bearing.leader(fleet.world, "storage")
    found = {
        "reader": lambda: bearing.reader(fleet.world),
        "seed": lambda: bearing.seeds(fleet.world)[0],
        "follower": lambda: next(d for d in fleet.world.of("storage") if d is not leader),
    }[how]()
    if found.role == "edge":
        pairs = cuts.pairs_between(
            fleet.random, [found.host.address], cuts.addresses(cuts.storage_and_cores(fleet.world)), False
        )
        cuts.cut(fleet.world, pairs, troubles.begin(fleet.world, "cut", [found.name]), LONG_MS)
        fleet.world.notes.isolations.append(Isolation(found.host.address, started_ms, started_ms + LONG_MS))
    else:
        isolate(fleet, found)
    fleet.run(LEASE_MS + 100)
    assert found.role == "storage" or not holds_lease(found.owner)
    assert_served_and_healed(fleet, started_ms, [found], fleet.leaderless_ms(LONG_MS - LEASE_MS - 90, [found]))


@pytest.mark.parametrize("restart_others", [False, True])
@pytest.mark.parametrize("role", ["storage", "core"])
def test_service_continues_when_the_partitioned_machine_restarts(role, restart_others):
    fleet = Fleet()
    daemon, started_ms = bearing.leader(fleet.world, role), fleet.world.now_ms()
    isolate(fleet, daemon)
    fleet.world.later(6000, worlds.kill, fleet.world, daemon, restart_others)
    fleet.world.later(6500, worlds.start, fleet.world, daemon)
    others = [d for d in cuts.storage_and_cores(fleet.world) if d is not daemon]
    if restart_others:
        fleet.world.later(9000, cuts.restart_all, fleet.world, fleet.random, others)
    leaderless_ms = fleet.leaderless_ms(LONG_MS + 10, [daemon])
    if restart_others:
        assert leaderless_ms <= 900 + LEADERLESS_LIMIT_MS
        leaderless_ms = 0.0
    assert_served_and_healed(fleet, started_ms, [daemon], leaderless_ms)


def test_service_continues_during_two_overlapping_partitions():
    fleet = Fleet("two")
    started_ms, first = fleet.world.now_ms(), bearing.leader(fleet.world, "storage")
    isolate(fleet, first, "both", LONG_MS)
    fleet.run(7000)
    second = bearing.leader(fleet.world, "storage")
    second = second if second is not first else next(d for d in fleet.world.of("storage") if d is not first)
    isolate(fleet, second, "both", LONG_MS - 7000)
    assert_served_and_healed(fleet, started_ms, [first, second], fleet.leaderless_ms(LONG_MS - 6990, [first, second]))


@pytest.mark.parametrize("role", ["storage", "core"])
def test_service_continues_when_the_leader_freezes(role):
    fleet = Fleet()
    daemon, started_ms = bearing.leader(fleet.world, role), fleet.world.now_ms()
    trouble = troubles.begin(fleet.world, "freeze", [daemon.name])
    daemon.host.freeze()
    fleet.world.later(LONG_MS, troubles.thaw, fleet.world, daemon, daemon.host.generation, trouble)
    assert_served_and_healed(fleet, started_ms, [daemon], fleet.leaderless_ms(LONG_MS + 10, [daemon]))


@pytest.mark.parametrize("delay_ms", [60, 3000])
def test_service_continues_when_the_disk_of_the_leader_is_slow(delay_ms):
    fleet = Fleet()
    daemon, started_ms = bearing.leader(fleet.world, "storage"), fleet.world.now_ms()
    trouble = troubles.begin(fleet.world, "slow disk", [daemon.name])
    daemon.disk.delay_ms = delay_ms
    fleet.world.later(LONG_MS, troubles.disk_well, fleet.world, daemon, trouble)
    leaderless_ms = fleet.leaderless_ms(LONG_MS + 10, [])
    while trouble.until_ms > fleet.world.now_ms():
        fleet.run(STEP_MS)
    assert_served_and_healed(fleet, started_ms, [], leaderless_ms)


@pytest.mark.parametrize("step_s", [-3600.0, -2.0, 2.0, 3600.0])
def test_wall_clock_steps_have_no_effect(step_s):
    fleet = Fleet()
    started_ms = fleet.world.now_ms()
    for daemon in fleet.world.daemons.values():
        if fleet.random.random() < 0.5:
            daemon.wall_offset_s += step_s
            fleet.world.later(LONG_MS, machines.step_back, daemon, step_s)
    assert_served_and_healed(fleet, started_ms, [], fleet.leaderless_ms(LONG_MS + 10, []))


def test_change_sent_when_a_partition_heals_is_judged_by_the_newest_state():
    fleet = Fleet()
    daemon = bearing.leader(fleet.world, "core")
    isolate(fleet, daemon)
    fleet.run(LONG_MS)
    operator = plays.operator_of(fleet.world, "m")
    operator.controls = lambda: [(daemon.host.address, worlds.CONTROL)]
    assert plays.await_(fleet.world, operator.modify(fleet.world.now_ms() + 4000), 5000) in (200, 400, 412)
    assert fleet.recovery_ms() <= CONTACT_MS
    assert fleet.violations() == []


def edge_partitioned_with_leader(plant):
    """Partition the leader together with an edge during changes. Returns the rules that the lease monitor reports."""
    with planted(plant):
        fleet = Fleet()
        leader, edge = bearing.leader(fleet.world, "storage"), fleet.world.of("edge")[0]
        side = [leader, edge]
        rest = [d for d in fleet.world.daemons.values() if d not in side]
        pairs = cuts.pairs_between(fleet.random, cuts.addresses(side), cuts.addresses(rest), False)
        cuts.cut(fleet.world, pairs, troubles.begin(fleet.world, "core cut", [d.name for d in side]), 6000)
        for number in range(24):
            operator = plays.operator_of(fleet.world, f"o{number}")
            fleet.world.later(number * 120, operator.modify, fleet.world.now_ms() + 5000)
        fleet.run(9000)
        assert max(v.acked_ms for v in fleet.world.notes.versions) > fleet.world.now_ms() - 9000
        return {violation.rule for violation in fleet.monitor.broken}


def test_edge_partitioned_with_the_leader_serves_no_superseded_configuration():
    assert edge_partitioned_with_leader("") == set()


@pytest.mark.parametrize("plant", ["lease_stretched", "leases_not_waited_out"])
def test_lease_monitor_reports_injected_lease_faults(plant):
    assert edge_partitioned_with_leader(plant) == {"LEASE"}
