from random import Random

import pytest
from fleet_simulator import stage as plays
from fleet_simulator import world as worlds
from fleet_simulator.world import Shape


def bootstrapped(seed, start_delay_ms, shape=None):
    """Bootstrap a deployment whose daemons each start after `start_delay_ms(daemon)`."""
    world = worlds.make(seed, shape or Shape())
    for daemon in list(world.daemons.values()):
        world.later(start_delay_ms(daemon), worlds.start, world, daemon)
    operator = plays.operator_of(world, "a")
    status = plays.await_(world, operator.found(), 40000)
    assert status == 200 and plays.settle(world, 15000) >= 0
    return world, operator


def bootstrap_voter_sets(world):
    voter_sets = {d.owner.bootstrap_voters for d in world.daemons.values() if d.owner is not None and d.host.alive}
    return voter_sets - {()}


def voters(world):
    return {d.owner.session.voters for d in world.of("edge") if d.owner is not None}


def restart(world, daemon, first):
    daemon.first = first
    worlds.start(world, daemon)


@pytest.mark.parametrize("seed", range(6))
def test_one_fleet_is_bootstrapped_in_any_start_order(seed):
    random = Random(seed)
    world, _ = bootstrapped(seed, lambda daemon: random.uniform(0, 600))
    assert len(bootstrap_voter_sets(world)) == 1 and voters(world) == {
        tuple(sorted(d.name for d in world.of("storage")))
    }


@pytest.mark.parametrize("role", ["storage", "core", "edge"])
def test_bootstrap_completes_when_one_role_starts_late(role):
    world, _ = bootstrapped(7, lambda daemon: 6000 if daemon.role == role else 0)
    assert len(bootstrap_voter_sets(world)) == 1


@pytest.mark.parametrize("late", ["storage-z0-1", "storage-z2-1", "core-z0-1"])
def test_daemon_that_starts_late_joins_the_fleet(late):
    world, _ = bootstrapped(8, lambda daemon: 3000 if daemon.name == late else 50)
    world.run(world.now_ms() + 6000)
    assert len(bootstrap_voter_sets(world)) == 1 and voters(world) == {
        tuple(sorted(d.name for d in world.of("storage")))
    }


def test_bootstrap_completes_when_a_storage_daemon_is_killed_and_restarted():
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
def test_wiped_disk_does_not_bootstrap_a_second_fleet(role, first):
    world, operator = bootstrapped(10, lambda daemon: 0)
    initial_voter_sets = bootstrap_voter_sets(world)
    for daemon in world.of(role)[:1]:
        worlds.wipe(world, daemon)
        world.later(500, restart, world, daemon, first)
    world.run(world.now_ms() + 8000)
    document = plays.await_(world, operator.read(), 5000)
    assert document["issue"] == 3 and bootstrap_voter_sets(world) <= initial_voter_sets


@pytest.mark.parametrize("first", [True, False])
def test_wiped_storage_does_not_bootstrap_while_the_survivor_is_down(first):
    world, operator = bootstrapped(11, lambda daemon: 0)
    survivor, *others = world.of("storage")
    worlds.kill(world, survivor)
    for daemon in others:
        worlds.wipe(world, daemon)
        world.later(500, restart, world, daemon, first)
    world.run(world.now_ms() + 8000)
    assert plays.await_(world, operator.read(world.now_ms() + 3000), 4000) is None
    assert not any(plays.ready(world, d) for d in world.of("edge"))


def test_configuration_survives_a_power_loss_of_all_machines():
    world, operator = bootstrapped(12, lambda daemon: 0)
    random = Random(3)
    for daemon in world.daemons.values():
        worlds.kill(world, daemon, True)
        world.later(random.uniform(100, 3000), restart, world, daemon, False)
    world.run(world.now_ms() + 3000)
    assert plays.settle(world, 12000) >= 0
    assert plays.await_(world, operator.read(), 5000)["issue"] == 3


def test_deployment_with_one_storage_machine_bootstraps():
    bootstrapped(13, lambda daemon: 0, Shape(1, 2, 1, 1, tolerated=0))


def test_last_storage_machine_recovers_from_a_power_loss():
    world, operator = bootstrapped(14, lambda daemon: 0, Shape(1, 2, 2, 1, tolerated=0))
    assert plays.await_(world, operator.retire("storage-z0-2", world.now_ms() + 8000), 9000) is True
    worlds.wipe(world, world.daemons["storage-z0-2"])
    world.daemons["storage-z0-2"].gone = True
    worlds.kill(world, world.daemons["storage-z0-1"], True)
    world.later(500, restart, world, world.daemons["storage-z0-1"], False)
    world.run(world.now_ms() + 4000)
    assert plays.settle(world, 12000) >= 0


def test_no_second_fleet_when_bootstrapper_and_a_storage_machine_lose_their_disks():
    """The settings still request an initial start, and the bootstrapper cannot reach the machines with state."""
    world, operator = bootstrapped(15, lambda daemon: 0)
    initial_voter_sets = bootstrap_voter_sets(world)
    bootstrapper, wiped = world.of("core")[0], world.of("storage")[0]
    worlds.wipe(world, bootstrapper)
    worlds.wipe(world, wiped)
    unreachable = [d for d in world.of("storage") if d is not wiped]
    for other in unreachable:
        for isolated in (bootstrapper, wiped):
            world.net.cuts |= {(isolated.host.address, other.host.address), (other.host.address, isolated.host.address)}
    for daemon in (bootstrapper, wiped):
        world.later(500, restart, world, daemon, True)
    world.run(world.now_ms() + 9000)
    assert bootstrap_voter_sets(world) <= initial_voter_sets
    world.net.cuts.clear()
    world.run(world.now_ms() + 4000)
    assert plays.settle(world, 12000) >= 0 and bootstrap_voter_sets(world) <= initial_voter_sets
    assert plays.await_(world, operator.read(), 5000)["issue"] == 3


def test_wiped_bootstrapper_that_reaches_no_other_seed_does_not_bootstrap():
    world, _ = bootstrapped(16, lambda daemon: 0)
    initial_voter_sets = bootstrap_voter_sets(world)
    bootstrapper, *seeds = world.of("core")
    wiped, *unreachable = world.of("storage")
    worlds.wipe(world, bootstrapper)
    worlds.wipe(world, wiped)
    for other in (*seeds, *unreachable):
        for isolated in (bootstrapper, wiped):
            world.net.cuts |= {(isolated.host.address, other.host.address), (other.host.address, isolated.host.address)}
    for daemon in (bootstrapper, wiped):
        world.later(500, restart, world, daemon, True)
    world.run(world.now_ms() + 9000)
    assert bootstrap_voter_sets(world) <= initial_voter_sets


def start_all(seed):
    world = worlds.make(seed)
    for daemon in list(world.daemons.values()):
        world.later(world.random.uniform(0, 300), worlds.start, world, daemon)
    return world


def assert_founded(world, seed):
    assert plays.await_(world, plays.operator_of(world, "a").found(), 20000) == 200, seed
    assert plays.settle(world, 15000) >= 0 and len(bootstrap_voter_sets(world)) == 1


def lose(world, daemon, loss):
    if loss == "wipe":
        worlds.wipe(world, daemon)
    else:
        worlds.kill(world, daemon, loss == "power")


@pytest.mark.parametrize("loss", ["kill", "power", "wipe"])
@pytest.mark.parametrize("name", ["core-z0-1", "core-z1-1", "storage-z0-1", "storage-z2-1"])
def test_first_start_completes_though_one_daemon_is_lost_at_any_time_in_it(name, loss):
    """Guards against review/5: the system never started after the founder was killed in its first start."""
    for lost_ms in (310, 400, 550, 700, 900, 1000, 1100, 1200, 1400, 1800, 2400):
        world = start_all(lost_ms)
        daemon = world.daemons[name]
        world.later(lost_ms, lose, world, daemon, loss)
        world.later(lost_ms + 500, restart, world, daemon, False)
        assert_founded(world, lost_ms)


@pytest.mark.parametrize("roles", [("storage",), ("core",), ("core", "storage", "edge")])
@pytest.mark.parametrize("power", [False, True])
def test_first_start_completes_though_all_daemons_of_a_role_are_killed_in_it(roles, power):
    for killed_ms in (400, 700, 1000, 1300, 2000):
        world = start_all(killed_ms)
        for daemon in world.of(*roles):
            world.later(killed_ms, worlds.kill, world, daemon, power)
            world.later(killed_ms + world.random.uniform(300, 900), restart, world, daemon, False)
        assert_founded(world, killed_ms)


def test_first_start_completes_though_every_daemon_is_killed_in_it_again_and_again():
    for seed in range(6):
        world, random = start_all(seed), Random(seed)
        for _ in range(12):
            daemon, killed_ms = random.choice(list(world.daemons.values())), random.uniform(300, 3500)
            world.later(killed_ms, worlds.kill, world, daemon, random.random() < 0.5)
            world.later(killed_ms + random.uniform(200, 700), restart, world, daemon, False)
        world.run(4500)
        for daemon in list(world.daemons.values()):
            restart(world, daemon, False)
        assert_founded(world, seed)


def test_storage_daemon_that_was_away_since_the_first_start_joins_though_the_founder_is_gone():
    world = worlds.make(3)
    away, founder = world.daemons["storage-z2-1"], world.of("core")[0]
    for daemon in list(world.daemons.values()):
        world.later(0 if daemon is away else 1000, worlds.start, world, daemon)
    world.later(500, worlds.kill, world, away)
    assert plays.await_(world, plays.operator_of(world, "a").found(), 20000) == 200
    worlds.kill(world, founder)
    founder.gone = True
    restart(world, away, False)
    world.run(world.now_ms() + 6000)
    assert plays.settle(world, 8000) >= 0
    names = {member.name for member in away.owner.ctx.core.synchrony.configuration.members}
    assert names == {daemon.name for daemon in world.of("storage")}
