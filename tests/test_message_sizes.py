"""Operations of any accepted size are delivered, recovered and caught up over links that drop what is too large."""

import pytest

from frostpost.daemon.core import OperationDecided
from frostpost.ledger.operations import SetConfig
from frostpost.ledger.results import ConfigSet
from frostpost.simulator import world as worlds
from frostpost.simulator.evs_checks import find_evs_violations
from frostpost.simulator.ledger_checks import find_ledger_violations
from frostpost.simulator.link_limits import LinkLimits
from frostpost.simulator.plants import planted
from frostpost.simulator.play import all_nodes_serve, play
from frostpost.simulator.storm import serves, submit
from frostpost.virtual_synchrony import batching, members, membership, ordering
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.members import sequencer_of

# One message and one link take far less than the operations of a test together; one operation fits by itself.
BOUNDS = Bounds(batch_bytes=10_000, unsafe_bytes=40_000, window_bytes=160_000, piece_bytes=8_000)
LIMITS = LinkLimits(queue_bytes=80_000, frame_bytes=30_000)
TIGHT_BOUNDS = Bounds(batch_bytes=600, unsafe_bytes=2400, window_bytes=9600, rewrite_entries=60, piece_bytes=400)
TIGHT_LIMITS = LinkLimits(queue_bytes=2800, frame_bytes=700)
CATCH_UP_MS = 3000


def large_world(seed=1, storages=3, bounds=BOUNDS):
    world = worlds.create_world(seed, 0, storages, 0, bounds, limits=LIMITS)
    worlds.run(world, 1500)
    assert all_nodes_serve(world)
    decided = []
    world.on_notification = lambda world, node, answer: (
        decided.append(answer.number)
        if isinstance(answer, OperationDecided) and isinstance(answer.result, ConfigSet)
        else None
    )
    return world, decided


def submit_large(world, name, path, size=4000):
    current = world.nodes[name].core.ledger.configs.get(path)
    submit(world, name, SetConfig(path, "d" * size, 1, current.version if current else 0, "me", 1, ()))


def submit_spaced(world, name, count, interval_ms=20, size=4000):
    """Submit operations one after the other, so that no two of them are ordered together."""
    for number in range(count):
        submit_large(world, name, f"templates/{name}{number}", size)
        worlds.run(world, world.now_ms + interval_ms)


def run_until(world, condition, limit_ms):
    """Run until the condition holds; return whether it did within the limit."""
    until_ms = world.now_ms + limit_ms
    while not condition() and world.now_ms < until_ms:
        worlds.run(world, world.now_ms + 10)
    return condition()


def is_complete(world):
    cores = [node.core for node in world.nodes.values()]
    return (
        all_nodes_serve(world)
        and all(core.synchrony.primary.ready for core in cores)
        and len({core.synchrony.applied for core in cores}) == 1
    )


def assert_order_holds(world):
    assert find_evs_violations(world.history, world.last_ordinals) == []
    assert find_ledger_violations(world, 0) == []


@pytest.mark.parametrize("name", ("s1", "s2", "s3"))
def test_member_catches_up_with_more_than_a_link_takes(name):
    """Guards against review/1: all missing entries in one message, which the link dropped each time."""
    world, decided = large_world()
    worlds.kill(world, name)
    worlds.run(world, world.now_ms + 1500)
    leader = next(node.name for node in world.nodes.values() if serves(world, node))
    submit_spaced(world, leader, 40)
    assert len(decided) == 40
    worlds.start(world, name)
    assert run_until(world, lambda: is_complete(world), CATCH_UP_MS)
    assert world.link_queues.dropped == 0
    assert_order_holds(world)


def test_loss_of_a_disk_is_borne_after_another_member_caught_up():
    """Guards against a member that never completes, so that the next loss is one too many."""
    world, decided = large_world()
    worlds.kill(world, "s3")
    worlds.run(world, world.now_ms + 1500)
    submit_spaced(world, "s1", 40)
    worlds.start(world, "s3")
    assert run_until(world, lambda: is_complete(world), CATCH_UP_MS)
    worlds.kill(world, "s2", True)
    world.nodes["s2"].disk.synced_records = []
    assert run_until(world, lambda: serves(world, world.nodes["s3"]), CATCH_UP_MS)
    worlds.start(world, "s2")
    assert run_until(world, lambda: is_complete(world), CATCH_UP_MS)
    assert_order_holds(world)


@pytest.mark.parametrize("wiped", (False, True))
def test_second_loss_while_a_member_is_incomplete_loses_nothing(wiped):
    world, decided = large_world()
    worlds.kill(world, "s3")
    worlds.run(world, world.now_ms + 1500)
    submit_spaced(world, "s1", 40)
    newest = set(world.nodes["s1"].core.ledger.configs)
    worlds.start(world, "s3")
    assert run_until(world, lambda: len(world.nodes["s3"].core.synchrony.configuration.members) == 3, CATCH_UP_MS)
    assert len(decided) == 40 and not world.nodes["s3"].core.synchrony.primary.ready
    worlds.kill(world, "s2", True)
    if wiped:
        world.nodes["s2"].disk.synced_records = []
    assert run_until(world, lambda: serves(world, world.nodes["s3"]), CATCH_UP_MS)
    assert set(world.nodes["s3"].core.ledger.configs) == newest
    worlds.start(world, "s2")
    assert run_until(world, lambda: is_complete(world), CATCH_UP_MS)
    assert_order_holds(world)


@pytest.mark.parametrize("name", ("s1", "s2"))
@pytest.mark.parametrize("size", (4000, 25_000))
def test_burst_of_large_operations_is_ordered(name, size):
    """Guards against the order stopping for good when operations submitted together exceed one message or link."""
    world, decided = large_world()
    for number in range(30):
        submit_large(world, name, f"templates/t{number}", size)
    synchrony, sequencer = world.nodes[name].core.synchrony, world.nodes["s1"].core.synchrony
    accepted, most_bytes, until_ms = len(synchrony.outbox), 0, world.now_ms + 6000
    assert accepted == min(30, BOUNDS.window_bytes // size + 1)
    while len(decided) < accepted and world.now_ms < until_ms:
        worlds.run(world, world.now_ms + 1)
        most_bytes = max(most_bytes, sequencer.order.undelivered_bytes)
    assert len(decided) == accepted
    assert 0 < most_bytes < BOUNDS.unsafe_bytes + 2 * size
    submit_large(world, name, "templates/later")
    assert run_until(world, lambda: len(decided) == accepted + 1, 1000)
    assert world.nodes[name].core.synchrony.outbox_bytes == 0
    assert run_until(world, lambda: is_complete(world), CATCH_UP_MS)
    assert_order_holds(world)


def test_member_behind_a_cut_link_gets_what_it_missed_in_several_messages():
    world, decided = large_world()
    worlds.cut_links(world, ["s1"], ["s3"], one_way=True)
    for number in range(20):
        submit_large(world, "s1", f"templates/t{number}")
    worlds.run(world, world.now_ms + 300)
    world.cuts.clear()
    assert run_until(world, lambda: len(decided) == 20, 4000)
    assert run_until(world, lambda: is_complete(world), CATCH_UP_MS)
    assert_order_holds(world)


@pytest.mark.parametrize("size", (4000, 25_000))
def test_unsafe_entries_are_rebroadcast_when_they_exceed_a_message(size):
    world, decided = large_world()
    worlds.cut_links(world, ["s1"], ["s3"], one_way=True)
    for number in range(20):
        submit_large(world, "s1", f"templates/t{number}", size)
    worlds.run(world, world.now_ms + 60)
    worlds.kill(world, "s1", True)
    assert run_until(world, lambda: serves(world, world.nodes["s3"]), CATCH_UP_MS)
    worlds.start(world, "s1")
    world.cuts.clear()
    assert run_until(world, lambda: is_complete(world), CATCH_UP_MS)
    assert world.link_queues.dropped == 0
    assert_order_holds(world)


def test_returned_member_is_not_elected_before_it_is_complete():
    """Guards against a sequencer that lacks entries, for which the complete members would wait."""
    world, _ = large_world()
    worlds.kill(world, "s1")
    worlds.run(world, world.now_ms + 1500)
    submit_spaced(world, "s2", 40)
    worlds.start(world, "s1")
    not_serving_ms, until_ms = 0, world.now_ms + 2000
    while world.now_ms < until_ms:
        worlds.run(world, world.now_ms + 10)
        not_serving_ms += 0 if serves(world, world.nodes["s2"]) else 10
    assert sequencer_of(world.nodes["s1"].core.synchrony) == "s2"
    assert not_serving_ms < world.bounds.detect_ms
    assert is_complete(world)


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_rule_is_violated_on_links_that_take_few_operations(seed):
    world, report = play(seed, gap_ms=1200, bounds=TIGHT_BOUNDS, limits=TIGHT_LIMITS)
    assert report.broken == []
    assert report.decided > 100
    assert world.link_queues.largest_bytes <= TIGHT_LIMITS.frame_bytes


def by_count(sizes, bounds):
    return len(sizes)


def is_order_full_by_count(synchrony):
    return synchrony.order.next_ordinal - synchrony.order.safe_watermark > synchrony.bounds.held


def first_by_name(synchrony, candidates):
    return min(member.name for member in candidates)


MUTANTS = {
    "messages are bounded by count": (
        [(batching, "leading_count", by_count)],
        lambda: [test_no_rule_is_violated_on_links_that_take_few_operations(seed) for seed in range(1, 9)],
    ),
    "catch-up is bounded by count": (
        [(batching, "leading_count", by_count)],
        lambda: test_member_catches_up_with_more_than_a_link_takes("s2"),
    ),
    "operations ordered and not yet safe are bounded by count": (
        [(ordering, "is_order_full", is_order_full_by_count)],
        lambda: test_burst_of_large_operations_is_ordered("s2", 4000),
    ),
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_each_mutant_is_detected(mutant):
    patches, check = MUTANTS[mutant]
    with planted(mutant, {mutant: patches}), pytest.raises(AssertionError):
        check()


def test_election_by_name_alone_is_detected():
    patches = [(membership, "elect_sequencer", first_by_name), (members, "elect_sequencer", first_by_name)]
    with planted("mutant", {"mutant": patches}), pytest.raises(AssertionError):
        test_returned_member_is_not_elected_before_it_is_complete()
