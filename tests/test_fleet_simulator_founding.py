from random import Random

import pytest
from fleet_simulator import stage as plays
from fleet_simulator import world as worlds
from fleet_simulator.world import Shape


def founded(seed, waits_ms, shape=None):
    """A deployment whose daemons start when waits_ms(daemon) says."""
    world = worlds.make(seed, shape or Shape())
    for daemon in list(world.daemons.values()):
        world.later(waits_ms(daemon), worlds.start, world, daemon)
    operator = plays.operator_of(world, "a")
    status = plays.await_(world, operator.found(), 40000)
    assert status == 200 and plays.settle(world, 15000) >= 0
    return world, operator


def charters(world):
    found = {d.owner.bootstrap_voters for d in world.daemons.values() if d.owner is not None and d.host.alive}
    return found - {()}


def voters(world):
    return {d.owner.session.voters for d in world.of("edge") if d.owner is not None}


def restart(world, daemon, first):
    daemon.first = first
    worlds.start(world, daemon)


@pytest.mark.parametrize("seed", range(6))
def test_daemons_found_one_fleet_in_any_order_of_starts(seed):
    random = Random(seed)
    world, _ = founded(seed, lambda daemon: random.uniform(0, 600))
    assert len(charters(world)) == 1 and voters(world) == {tuple(sorted(d.name for d in world.of("storage")))}


@pytest.mark.parametrize("role", ["storage", "core", "edge"])
def test_a_role_may_start_long_after_the_others(role):
    world, _ = founded(7, lambda daemon: 6000 if daemon.role == role else 0)
    assert len(charters(world)) == 1


@pytest.mark.parametrize("late", ["storage-z0-1", "storage-z2-1", "core-z0-1"])
def test_one_late_starter_is_waited_for_or_taken_in(late):
    world, _ = founded(8, lambda daemon: 3000 if daemon.name == late else 50)
    world.run(world.now_ms() + 6000)
    assert len(charters(world)) == 1 and voters(world) == {tuple(sorted(d.name for d in world.of("storage")))}


def test_a_storage_daemon_killed_while_the_fleet_is_founded_is_no_hindrance():
    world = worlds.make(9)
    for daemon in list(world.daemons.values()):
        worlds.start(world, daemon)
    killed = world.daemons["storage-z1-1"]
    world.later(400, worlds.kill, world, killed)
    world.later(1500, worlds.start, world, killed)
    assert plays.await_(world, plays.operator_of(world, "a").found(), 20000) == 200
    assert plays.settle(world, 15000) >= 0


@pytest.mark.parametrize("first", [True, False])
@pytest.mark.parametrize("role", ["storage", "core"])
def test_a_wiped_disk_founds_no_second_fleet(role, first):
    world, operator = founded(10, lambda daemon: 0)
    held = charters(world)
    for daemon in world.of(role)[:1]:
        worlds.wipe(world, daemon)
        world.later(500, restart, world, daemon, first)
    world.run(world.now_ms() + 8000)
    document = plays.await_(world, operator.read(), 5000)
    assert document["issue"] == 3 and charters(world) <= held


@pytest.mark.parametrize("first", [True, False])
def test_wiped_disks_beside_one_that_sleeps_found_nothing(first):
    world, operator = founded(11, lambda daemon: 0)
    keeper, *others = world.of("storage")
    worlds.kill(world, keeper)
    for daemon in others:
        worlds.wipe(world, daemon)
        world.later(500, restart, world, daemon, first)
    world.run(world.now_ms() + 8000)
    assert plays.await_(world, operator.read(world.now_ms() + 3000), 4000) is None
    assert not any(plays.ready(world, d) for d in world.of("edge"))


def test_all_power_lost_and_back_in_any_order_keeps_the_routing():
    world, operator = founded(12, lambda daemon: 0)
    random = Random(3)
    for daemon in world.daemons.values():
        worlds.kill(world, daemon, True)
        world.later(random.uniform(100, 3000), restart, world, daemon, False)
    world.run(world.now_ms() + 3000)
    assert plays.settle(world, 12000) >= 0
    assert plays.await_(world, operator.read(), 5000)["issue"] == 3


def test_a_deployment_with_one_storage_machine_founds_itself():
    founded(13, lambda daemon: 0, Shape(1, 2, 1, 1, tolerated=0))


def test_a_storage_machine_that_is_left_alone_serves_again_after_a_loss_of_power():
    world, operator = founded(14, lambda daemon: 0, Shape(1, 2, 2, 1, tolerated=0))
    assert plays.await_(world, operator.retire("storage-z0-2", world.now_ms() + 8000), 9000) is True
    worlds.wipe(world, world.daemons["storage-z0-2"])
    world.daemons["storage-z0-2"].gone = True
    worlds.kill(world, world.daemons["storage-z0-1"], True)
    world.later(500, restart, world, world.daemons["storage-z0-1"], False)
    world.run(world.now_ms() + 4000)
    assert plays.settle(world, 12000) >= 0


def test_the_founders_disk_and_a_storage_machines_lost_at_first_start_found_no_second_fleet():
    """The settings still say first start, and the machines that remember are out of the founder's reach."""
    world, operator = founded(15, lambda daemon: 0)
    held = charters(world)
    founder, wiped = world.of("core")[0], world.of("storage")[0]
    worlds.wipe(world, founder)
    worlds.wipe(world, wiped)
    apart = [d for d in world.of("storage") if d is not wiped]
    for other in apart:
        for here in (founder, wiped):
            world.net.cuts |= {(here.host.address, other.host.address), (other.host.address, here.host.address)}
    for daemon in (founder, wiped):
        world.later(500, restart, world, daemon, True)
    world.run(world.now_ms() + 9000)
    assert charters(world) <= held
    world.net.cuts.clear()
    world.run(world.now_ms() + 4000)
    assert plays.settle(world, 12000) >= 0 and charters(world) <= held
    assert plays.await_(world, operator.read(), 5000)["issue"] == 3


def test_no_second_fleet_is_founded_by_a_founder_that_reaches_no_other_seed():
    world, _ = founded(16, lambda daemon: 0)
    held = charters(world)
    founder, *seeds = world.of("core")
    wiped, *apart = world.of("storage")
    worlds.wipe(world, founder)
    worlds.wipe(world, wiped)
    for other in (*seeds, *apart):
        for here in (founder, wiped):
            world.net.cuts |= {(here.host.address, other.host.address), (other.host.address, here.host.address)}
    for daemon in (founder, wiped):
        world.later(500, restart, world, daemon, True)
    world.run(world.now_ms() + 9000)
    assert charters(world) <= held
