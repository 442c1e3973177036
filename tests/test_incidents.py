"""What recorded days of the two sites brought to light; docs/incidents tells them."""

import pytest
from fleet_simulator import stage as plays
from fleet_simulator import world as worlds
from fleet_simulator.crowd import MOST_TOKENS
from test_turn_store_serving import Network, put_bodies

from frostpost.cluster import agent_sessions as sessions
from frostpost.simulator import net as nets

CATCH_UP_MS = 4000
REPAIR_MS = 200
KERNEL_RETRY_S = 1.0
WHOLE_MS = 700


def load(world, crowd, for_ms, per_s):
    for number in range(for_ms * per_s // 1000):
        world.later(number * 1000 / per_s, crowd.turn, f"z{number % 3}", f"p{number}", 20 * MOST_TOKENS, "")


def sequenced(world):
    return any(
        sessions.is_sequencer(d.owner.ctx)
        for d in world.of("storage")
        if d.host.alive and d.owner is not None and d.owner.ctx.core is not None
    )


def longest_gap_ms(world, for_ms):
    """How long at most the ring had no sequencer, once it had one."""
    had_ms, longest, until_ms = None, 0, world.now_ms() + for_ms
    while world.now_ms() < until_ms:
        world.run(world.now_ms() + 10)
        if sequenced(world):
            longest, had_ms = max(longest, world.now_ms() - (had_ms or world.now_ms())), world.now_ms()
    assert had_ms is not None
    return max(longest, until_ms - had_ms)


def four_voters():
    world, _, _, _ = plays.open_(5)
    added = worlds.add(world, "storage-z1-2", "storage", "z1")
    added.first = False
    worlds.start(world, added)
    world.run(world.now_ms() + 2000)
    return world, added


@pytest.mark.parametrize("cut_ms", [0, 1100, 3000])
def test_an_empty_machine_that_returns_takes_the_ring_from_nobody(cut_ms):
    world, added = four_voters()
    load(world, plays.crowd_of(world, "c"), 9000, 20)
    lost = world.daemons["storage-z0-1"]
    worlds.wipe(world, lost)
    world.run(world.now_ms() + 2500)
    pair = {(added.host.address, lost.host.address)}
    world.net.cuts |= pair if cut_ms else set()
    worlds.start(world, lost)
    world.later(cut_ms, world.net.cuts.difference_update, pair)
    assert longest_gap_ms(world, 5000) < 200


def whole_ring(world):
    """Whether all storage daemons stand in one configuration that is sequenced."""
    synchronies = [
        d.owner.ctx.core.synchrony for d in world.of("storage") if d.host.alive and d.owner.ctx.core is not None
    ]
    return (
        len({h.configuration.id for h in synchronies}) == 1
        and sequenced(world)
        and all(len(h.configuration.members) == len(world.of("storage")) for h in synchronies)
    )


@pytest.mark.parametrize("waits_ms", [(0, 70, 100), (0, 255, 378), (0, 460, 700)])
def test_the_ring_is_whole_soon_after_the_last_machine_has_power_again(monkeypatch, waits_ms):
    def retry(connector):
        """A kernel sends its first packet again after a second."""
        wait_s = min(KERNEL_RETRY_S, connector.deadline_s - connector.net.clock.seconds())
        if wait_s <= 0:
            return connector.fail(nets.TimeoutError())
        return connector.net.clock.callLater(wait_s, connector.reach_target)

    world, _, _, _ = plays.open_(5)
    load(world, plays.crowd_of(world, "c"), 9000, 20)
    world.run(world.now_ms() + 2000)
    monkeypatch.setattr(nets.Connector, "retry", retry)
    for daemon in world.of("storage"):
        worlds.kill(world, daemon, True)
    world.run(world.now_ms() + 700)
    for daemon, wait_ms in zip(reversed(world.of("storage")), waits_ms, strict=True):
        world.later(wait_ms, worlds.start, world, daemon)
    world.run(world.now_ms() + waits_ms[-1])
    started_ms = broken_ms = world.now_ms()
    while world.now_ms() < started_ms + 4000:
        world.run(world.now_ms() + 10)
        broken_ms = broken_ms if whole_ring(world) else world.now_ms()
    assert broken_ms - started_ms < WHOLE_MS


def test_a_newcomer_is_whole_within_its_time_to_catch_up():
    network, turns = Network(3), [f"t{n}" for n in range(4000)]
    for peer in ("@s1:1", "@s2:1"):
        put_bodies(network, peer, turns)
    network.repair("@s0:1", dict.fromkeys(turns), CATCH_UP_MS // REPAIR_MS)
    assert network.replicas["@s0:1"].turn_store.missing_count == 0
