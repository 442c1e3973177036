"""Copies when machines are replaced, emptied and wiped: nothing acknowledged is lost, and the next loss is borne.

Each story is played again with a fault planted in the rule that it is about, and has to catch it.
"""

import pytest
from fleet_simulator import stories
from fleet_simulator import world as worlds
from fleet_simulator.plants import planted

LARGEST_TURNS = 66 * 110
FILLED_KEPT_MS = 200_000
SLOW_SYNC_MS = 10


def cut_apart(world, first, second):
    world.net.cuts |= {(first.host.address, second.host.address), (second.host.address, first.host.address)}


def story_of_an_emptied_holder(seed):
    """Edges reach only two of the replicas: the one that is emptied, and one whose disk is lost right after it."""
    world, operator, crowd = stories.open_without_faults(seed)
    holder, unreached, leaver = world.of("storage")
    newcomer = stories.add_storage(world, leaver.zone)
    for edge in world.of("edge"):
        cut_apart(world, edge, unreached)
        cut_apart(world, edge, newcomer)
    stories.start_turns(world, crowd, "z0", 10, world.now_ms() + 6000)
    assert stories.retire(world, operator, leaver)
    stories.remove(world, leaver)
    stories.power_off(world, [d for d in world.of("storage", "core", "edge") if d is not holder], 600)
    stories.wipe(world, holder, 600)
    world.net.cuts.clear()
    world.run(world.now_ms() + 4000)
    return stories.failures(world, operator, crowd)


def story_of_two_replacements(seed):
    """At the largest ledger one machine is replaced, and the next one as soon as the first is made good."""
    world, operator, crowd = stories.open_without_faults(seed)
    filled = stories.fill(world, LARGEST_TURNS, FILLED_KEPT_MS)
    stories.start_turns(world, crowd, "z1", 40, world.now_ms() + 3000)
    newcomer = stories.replace(world, world.of("storage")[seed % 3])
    world.run(world.now_ms() + 200)
    stories.run_until_caught_up(world)
    stories.replace(world, next(d for d in world.of("storage") if d is not newcomer))
    world.run(world.now_ms() + 200)
    stories.run_until_caught_up(world)
    gone = [turn for turn in filled if any(turn not in d.owner.turn_store.index for d in world.of("storage"))]
    return [f"{len(gone)} bodies not held by all"] * bool(gone) + stories.failures(world, operator, crowd)


def story_of_a_planned_replacement(seed, wait_ms):
    """The newcomer first, then SIGTERM for the old machine, which is removed; then another is lost for good."""
    world, operator, crowd = stories.open_without_faults(seed)
    stories.start_turns(world, crowd, "z1", 40, world.now_ms() + 4000)
    old, other = world.of("storage")[seed % 3], world.of("storage")[(seed + 1) % 3]
    stories.add_storage(world, old.zone)
    stories.run_until_caught_up(world)
    worlds.leave(world, old)
    while old.host.alive:
        world.run(world.now_ms() + 5)
    old.gone = True
    world.run(world.now_ms() + wait_ms)
    stories.replace(world, other)
    stories.run_until_caught_up(world)
    return stories.failures(world, operator, crowd)


def story_of_all_down_while_replacing(seed, wait_ms):
    """One machine is replaced; wait_ms after the newcomer's start everything loses power."""
    world, operator, crowd = stories.open_without_faults(seed)
    stories.start_turns(world, crowd, "z1", 30, world.now_ms() + 3000)
    world.run(world.now_ms() + 500)
    stories.replace(world, world.of("storage")[seed % 3])
    world.run(world.now_ms() + 200 + wait_ms)
    for daemon in world.of("storage", "core", "edge"):
        stories.power_off(world, [daemon], world.random.uniform(200, 2000))
    stories.run_until_caught_up(world)
    return stories.failures(world, operator, crowd)


def story_of_a_wipe_after_an_order(seed, wait_ms):
    """A wiped machine has caught up; wait_ms after a change of the configuration was sent another loses its disk."""
    world, operator, crowd = stories.open_without_faults(seed)
    stories.wipe(world, world.of("storage")[(seed + 1) % 3], 300)
    world.run(world.now_ms() + 300)
    stories.run_until_caught_up(world)
    stories.start_turns(world, crowd, "z1", 20, world.now_ms() + 1500)
    world.run(world.now_ms() + 1000)
    operator.modify(world.now_ms() + 5000)
    world.run(world.now_ms() + wait_ms)
    all_fall(world, seed)
    return judged_after(world, operator, crowd, seed)


def story_of_a_wipe_after_a_turn(seed):
    """A machine loses its disk at the very moment when a client's turn was taken, the others lose power."""
    world, operator, crowd = stories.open_without_faults(seed)
    stories.start_turns(world, crowd, "z1", 20, world.now_ms() + 1500)
    world.run(world.now_ms() + 1000)
    for daemon in world.of("storage"):
        daemon.disk.delay_ms = SLOW_SYNC_MS
    fallen = []

    def fall(request):
        world.notes.tap = lambda request: None
        fallen.append(request)
        all_fall(world, seed)

    world.notes.tap = fall
    while not fallen:
        world.run(world.now_ms() + 1)
    return judged_after(world, operator, crowd, seed, fallen)


def all_fall(world, seed):
    """One disk is lost; where the seed is odd all others lose power."""
    wiped = world.of("storage")[seed % 3]
    others = [d for d in world.of("storage", "core", "edge") if d is not wiped]
    stories.power_off(world, others if seed % 2 else [], 400)
    stories.wipe(world, wiped, 500)


def judged_after(world, operator, crowd, seed, taken=()):
    """What is wrong once all is back; a key asked for twice runs once."""
    keyed = {"key": f"k{seed}", "body": b"once"}
    world.run(world.now_ms() + 2000)
    crowd.send_with_retries("z0", "/keyed/c", "p", 3, **keyed)
    world.run(world.now_ms() + 1500)
    crowd.send_with_retries("z1", "/keyed/c", "p", 3, **keyed)
    stories.run_until_caught_up(world)
    return stories.failures(world, operator, crowd, taken)


@pytest.mark.parametrize("seed", [2, 3])
def test_an_emptied_machine_never_held_the_only_copy(seed):
    assert story_of_an_emptied_holder(seed) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_the_next_loss_is_borne_at_the_largest_ledger(seed):
    assert story_of_two_replacements(seed) == []


@pytest.mark.parametrize("wait_ms", [0, 100, 1000])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_loss_right_after_a_planned_replacement_is_borne(seed, wait_ms):
    assert story_of_a_planned_replacement(seed, wait_ms) == []


@pytest.mark.parametrize("wait_ms", [100, 300, 600, 800, 900, 1000, 1100, 1300])
def test_everything_may_go_down_while_a_machine_is_replaced(wait_ms):
    assert story_of_all_down_while_replacing(wait_ms % 7, wait_ms) == []


@pytest.mark.parametrize("wait_ms", [5, 20, 50, 100, 200, 400])
def test_a_disk_may_be_lost_soon_after_an_order_was_sent(wait_ms):
    for seed in (wait_ms % 7, wait_ms % 7 + 1):
        assert story_of_a_wipe_after_an_order(seed, wait_ms) == []


@pytest.mark.parametrize("seed", range(4))
def test_a_disk_may_be_lost_right_after_a_turn_was_taken(seed):
    assert story_of_a_wipe_after_a_turn(seed) == []


@pytest.mark.parametrize(
    "plant, story",
    [
        ("released_early", lambda: story_of_an_emptied_holder(2)),
        ("fetched_in_rounds", lambda: story_of_two_replacements(1)),
        ("vote_kept", lambda: story_of_a_planned_replacement(1, 0)),
        ("every_voter", lambda: story_of_all_down_while_replacing(1, 600)),
        ("never_refilled", lambda: story_of_a_wipe_after_an_order(1, 50)),
        ("end_unawaited", lambda: [b for seed in range(6) for b in story_of_a_wipe_after_a_turn(seed)]),
    ],
)
def test_a_planted_fault_breaks_its_story(plant, story):
    with planted(plant):
        assert story() != []
