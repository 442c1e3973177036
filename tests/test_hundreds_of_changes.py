"""Hundreds of changes with snapshots at every boundary, while members are restarted, wiped, cut off and replaced."""

from contextlib import suppress
from itertools import cycle

import pytest
from msgspec import Struct

from frostpost.daemon.core import OperationDecided
from frostpost.ledger.operations import SetConfig
from frostpost.ledger.results import ConfigSet, StaleConfig
from frostpost.simulator import world as worlds
from frostpost.simulator.evs_checks import find_evs_violations
from frostpost.simulator.ledger_checks import find_ledger_violations
from frostpost.simulator.storm import Load, serves, submit, watch_leases
from frostpost.virtual_synchrony import catch_up
from frostpost.virtual_synchrony import leases as protocol_leases
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.events import SetVoters
from frostpost.virtual_synchrony.quorum import is_majority

PATH = "templates/t"
CHANGES = 500
CATCH_UP_MS = 2500
KINDS = ("kill", "power", "wipe", "cut", "replace")


class Operator(Struct):
    """Changes one document again and again, each time on top of the version that it knows."""

    version: int = 0
    waiting: object = None
    asked: int = 0
    acked: int = 0
    at_open: dict = {}
    stale: list = []

    def heard(self, world, node, answer):
        if not isinstance(answer, OperationDecided) or (node.endpoint.member, answer.number) != self.waiting:
            return
        self.waiting = None
        if isinstance(answer.result, ConfigSet):
            assert answer.result.version > self.acked
            self.version = self.acked = answer.result.version
        elif isinstance(answer.result, StaleConfig):
            self.version = answer.result.version

    def change(self, world):
        able = [n for n in world.nodes.values() if serves(world, n)]
        if not able:
            return
        node = able[self.asked % len(able)]
        self.asked += 1
        self.waiting = (node.endpoint.member, node.core.synchrony.last_operation_number + 1)
        submit(world, node.name, SetConfig(PATH, str(self.asked), 1, self.version, "me", self.asked, ()))

    def look(self, world):
        """No member serves that lacks what was acknowledged before its configuration was opened."""
        for node in world.nodes.values():
            if node.core is None:
                continue
            id = node.core.synchrony.configuration.id
            self.at_open.setdefault(id, self.acked)
            if serves(world, node) and version_at(node) < self.at_open[id]:
                self.stale.append((world.now_ms, node.name, version_at(node), self.at_open[id]))


def version_at(node):
    mark = node.core.ledger.configs.get(PATH)
    return mark.version if mark else 0


def every(world, wait_ms, call):
    call(world)
    worlds.schedule(world, wait_ms, "call", lambda w: every(w, wait_ms, call))


def run_until(world, test, wait_ms):
    """-> how long it took, or None."""
    began_ms = world.now_ms
    while world.now_ms < began_ms + wait_ms:
        if test():
            return world.now_ms - began_ms
        worlds.run(world, world.now_ms + 10)
    return None


def changed(world, operator):
    before = operator.acked
    operator.change(world)
    run_until(world, lambda: operator.waiting is None, 400)
    operator.waiting = None
    return operator.acked > before


def strike(world, name, kind):
    """-> what undoes it."""
    node = world.nodes[name]
    if kind == "cut":
        worlds.cut_links(world, [name], [n for n in world.nodes if n != name])
        return world.cuts.clear
    worlds.kill(world, name, kind != "kill")
    if kind in ("wipe", "replace"):
        node.disk.synced_records = []
    return lambda: worlds.start(world, name)


def revote(world, out):
    """Put the spare in the place of a voter that is to be replaced, one change at a time."""
    for _ in range(60):
        leader = next((n for n in world.nodes.values() if serves(world, n)), None)
        before = leader.core.ledger.voters if leader else ()
        spare = next((n for n in world.nodes if n not in before), None)
        if leader and out not in before and len(before) == 3:
            return
        after = (*before, spare) if len(before) == 3 else tuple(v for v in before if v != out)
        if leader and spare != out:
            submit(world, leader.name, SetVoters(leader.core.synchrony.configuration.id, before, after))
        worlds.run(world, world.now_ms + 50)


def is_whole(world):
    """Whether all members are full and stand in one configuration that serves."""
    cores = [n.core for n in world.nodes.values()]
    return (
        all(core is not None and core.synchrony.primary.ready for core in cores)
        and len({core.synchrony.configuration.id for core in cores}) == 1
        and all(serves(world, n) for n in world.nodes.values())
        and len({core.synchrony.applied for core in cores}) == 1
    )


def play(seed, rewrite_entries, changes=CHANGES, each=1):
    """-> world, operator, the longest time that a member took to be whole again."""
    bounds = Bounds(rewrite_entries=rewrite_entries, piece_bytes=300, batch=16, slice_records=2)
    world, operator, longest = worlds.create_world(seed, 0, 4, 0, bounds, voters=3), Operator(), 0
    world.on_notification = operator.heard
    state = Load(world.random)
    state.until_ms = 1 << 40
    worlds.run(world, 1500)
    every(world, 10, operator.look)
    watch_leases(world, state)
    turns = cycle([(name, kind) for kind in KINDS for name in world.nodes])
    while operator.acked < changes:
        name, kind = next(turns)
        if kind == "replace" and name in world.nodes["s1"].core.ledger.voters:
            revote(world, name)
        undo = strike(world, name, kind)
        done = sum(changed(world, operator) for _ in range(2 * each))
        undo()
        for _ in range(each):
            changed(world, operator)
        took_ms = run_until(world, lambda: is_whole(world), CATCH_UP_MS)
        assert took_ms is not None, f"{name} is not whole {CATCH_UP_MS} ms after {kind}, {done} changes"
        longest = max(longest, took_ms)
    return world, operator, state, longest


def faults(world, operator, state):
    return [
        *operator.stale,
        *state.violations,
        *find_evs_violations(world.history, world.last_ordinals),
        *find_ledger_violations(world, 0),
    ]


@pytest.mark.parametrize("rewrite_entries", (1, 2, 9, 60))
def test_no_member_is_left_behind_or_serves_old_state(rewrite_entries):
    world, operator, state, _ = play(rewrite_entries, rewrite_entries)
    assert operator.acked >= CHANGES
    assert faults(world, operator, state) == []
    assert all(n.core.synchrony.log.snapshot_index > CHANGES // 2 for n in world.nodes.values())


def before_whole(synchrony, now_ms):
    """A lease is held as soon as the members are there, whatever the state."""
    present = {n for n, p in synchrony.peers.items() if now_ms - p.granted_ms < synchrony.bounds.lease_ms}
    voters = synchrony.voters or synchrony.bootstrap_voters
    return is_majority(voters, present | {synchrony.name}) and not synchrony.recovery


def stale_state(synchrony, out, index, state):
    """A received snapshot counts as newer than it is."""
    refill(synchrony, out, index + 1, state)


refill = catch_up.install_snapshot
PLANTS = {
    "a member serves before it is whole": (protocol_leases, "holds_lease", before_whole),
    "a snapshot is taken for a newer one": (catch_up, "install_snapshot", stale_state),
}


@pytest.mark.parametrize("plant", PLANTS)
def test_each_planted_fault_is_found(plant, monkeypatch):
    module, name, fault = PLANTS[plant]
    monkeypatch.setattr(module, name, fault)
    found = []
    with suppress(AssertionError, AttributeError, IndexError, KeyError):
        world, operator, state, _ = play(3, 7, changes=120)
        found = faults(world, operator, state)
        assert found == []
        found = None
    assert found is not None
