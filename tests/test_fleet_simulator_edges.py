"""Requests at the end of their time windows, and a second machine loss right after recovery from the first."""

from collections import defaultdict
from random import Random

import pytest
from fleet_simulator import bearing
from fleet_simulator import judge as judge
from fleet_simulator import stage as plays
from fleet_simulator import works as works
from fleet_simulator import world as worlds
from fleet_simulator.crowd import MOST_TOKENS
from fleet_simulator.notes import Trouble

from frostpost.program_ledger.apply import apply_operation
from frostpost.program_ledger.messages import AttemptBegun, AttemptEnded, BeginAttempt, Candidate, EndAttempt
from frostpost.program_ledger.state import ProgramLedger

PHASES_MS = (0, 90, 180, 270, 360, 450)


@pytest.fixture
def deployment():
    world, operators, status, took_ms = plays.open_(5)
    assert status == 200 and took_ms >= 0
    return world, plays.crowd_of(world, "c")


def tries_of(world):
    return {t.try_id: t for t in world.notes.tries}


def runs_of(world):
    runs = defaultdict(list)
    for run in world.notes.runs:
        runs[run.try_id].append(run)
    return runs


def test_repeat_at_the_end_of_the_key_window_does_not_run_again(deployment):
    world, crowd = deployment
    for number, phase_ms in enumerate(PHASES_MS):

        def send(key=f"k{number}"):
            return crowd.send_with_retries("z0", "/keyed/c", "p", 1, key=key, body=b"once")

        for wait_ms in (0, world.notes.sheet["window"] - 60):
            world.later(1000 * number + phase_ms + wait_ms, send)
    world.run(world.now_ms() + 6000 + world.notes.sheet["window"] + 2000)
    assert len(world.notes.runs) >= len(PHASES_MS)
    assert [violation.text for violation in judge.duplicate_executions(world, runs_of(world), tries_of(world))] == []


def test_turn_can_be_resumed_until_its_retention_ends(deployment):
    world, crowd = deployment

    def resume(request):
        world.later(world.notes.sheet["keep"] - 60, crowd.turn, "z1", "q", 20 * MOST_TOKENS, request.try_id)

    for number, phase_ms in enumerate(PHASES_MS):
        world.later(700 * number + phase_ms, lambda: crowd.turn("z0", "p", 20 * MOST_TOKENS, "").addCallback(resume))
    world.run(world.now_ms() + 6000 + world.notes.sheet["keep"] + 2000)
    assert len(crowd.turns) >= len(PHASES_MS)
    assert [violation.text for violation in judge.lost_sessions(world, tries_of(world))] == []


@pytest.mark.parametrize("outage_ms", [2000, 5000, 12000, 13500])
def test_drains_are_honoured_in_time_after_a_listing_outage(deployment, outage_ms):
    world, crowd = deployment
    world.run(world.now_ms() + 1000)
    trouble = Trouble("list", (), world.now_ms())
    world.notes.list_troubles.append(trouble)
    world.listing.down = True
    world.run(world.now_ms() + outage_ms)
    world.listing.down, trouble.until_ms = False, world.now_ms()
    works.drain_runner(world, Random(2))
    crowd.arrive(world.now_ms() + 8000, 80)
    world.run(world.now_ms() + 13000)
    assert [violation.text for violation in judge.dispatches_after_drain(world, tries_of(world))] == []


def replace(world, daemon):
    worlds.wipe(world, daemon)
    daemon.gone = True
    world.serial += 1
    replacement = worlds.add(world, f"storage-x{world.serial}", "storage", daemon.zone)
    replacement.first = False
    world.later(200, worlds.start, world, replacement)
    return replacement


@pytest.mark.parametrize("gap_ms", [50, 300, 1000])
@pytest.mark.parametrize("first", [0, 1])
def test_second_storage_machine_can_be_replaced_after_the_first_has_caught_up(deployment, first, gap_ms):
    world, crowd = deployment
    world.run(world.now_ms() + 3000)
    replacement = replace(world, world.of("storage")[first])
    world.run(world.now_ms() + 200 + bearing.CATCH_UP_MS + gap_ms)
    replace(world, next(d for d in world.of("storage") if d is not replacement))
    world.run(world.now_ms() + 5000)
    assert plays.settle(world, 7000) >= 0


@pytest.mark.parametrize("gap_ms", [700, 1200, 1800, 2500])
def test_deployment_recovers_when_a_replacement_is_wiped_during_catch_up(deployment, gap_ms):
    world, crowd = deployment
    world.run(world.now_ms() + 3000)
    replacement = replace(world, world.of("storage")[0])
    world.run(world.now_ms() + 200 + gap_ms)
    worlds.wipe(world, replacement)
    world.later(300, worlds.start, world, replacement)
    world.run(world.now_ms() + 6000)
    assert plays.settle(world, 6000) >= 0


def test_repeated_end_of_an_attempt_gets_the_same_result():
    program_ledger = ProgramLedger()
    begun = apply_operation(program_ledger, 0, (), (), BeginAttempt("a", "p", 100, 10, "", 1000, (Candidate("r", 4),)))
    assert isinstance(begun, AttemptBegun)
    assert [apply_operation(program_ledger, 5, (), (), EndAttempt("a", 7)) for _ in range(2)] == [
        AttemptEnded(),
        AttemptEnded(),
    ]
