"""Steps of replication scenarios: replace, retire and wipe daemons, then check that acknowledged data survived."""

from frostpost.cluster.agent_sessions import is_sequencer
from frostpost.daemon.event_loop import submit
from frostpost.program_ledger.messages import BeginAttempt, Candidate, EndAttempt
from frostpost.turn_store import store

from . import bearing
from . import world as worlds
from .crowd import MOST_TOKENS
from .play import invariant_violations
from .stage import await_, crowd_of, open_, settle

RETIRE_TIMEOUT_MS = 9000
CONTINUE_TIMEOUT_MS = 3000
CONTINUED_TURNS = 12
FILL_BATCH_TURNS = 400


def open_without_faults(seed, shape=None):
    """Returns (world, operator, crowd) of a configured deployment without faults."""
    world, operators, status, took_ms = open_(seed, shape)
    assert status == 200 and took_ms >= 0
    world.run(world.now_ms() + 1000)
    return world, operators[0], crowd_of(world, "c")


def add_storage(world, zone, wait_ms=0):
    """Add an empty storage daemon."""
    world.serial += 1
    added = worlds.add(world, f"storage-{zone}-x{world.serial}", "storage", zone)
    added.first = False
    world.later(wait_ms, worlds.start, world, added)
    return added


def remove(world, daemon):
    """Remove a daemon and its disk for good."""
    worlds.wipe(world, daemon)
    daemon.gone = True


def wipe(world, daemon, back_ms):
    """Power off a daemon, wipe its disk and start it again after `back_ms`."""
    worlds.wipe(world, daemon)
    world.later(back_ms, worlds.start, world, daemon)


def replace(world, daemon, wait_ms=200):
    remove(world, daemon)
    return add_storage(world, daemon.zone, wait_ms)


def power_off(world, daemons, back_ms):
    for daemon in daemons:
        worlds.kill(world, daemon, True)
        world.later(back_ms, worlds.start, world, daemon)


def run_until_caught_up(world):
    """Run for the time in which a new or wiped replica catches up."""
    world.run(world.now_ms() + bearing.CATCH_UP_MS)


def retire(world, operator, daemon):
    """Retire a daemon, repeating the request until it is accepted. Returns whether the retirement completed."""
    until_ms, accepted = world.now_ms() + RETIRE_TIMEOUT_MS, False
    while world.now_ms() < until_ms:
        if not accepted:
            call = operator.call_until_conclusive(
                "POST", f"Retire.Initiate/{daemon.name}", {"deadline-s": 10}, until_ms=until_ms
            )
            response = await_(world, call, RETIRE_TIMEOUT_MS)
            accepted = response is not None and response.status == 200
        if daemon.owner.ctx.core.ledger.program_ledger.retiring.get(daemon.name) == "completed":
            return True
        world.run(world.now_ms() + 5)
    return False


def start_turns(world, crowd, zone, gap_ms, until_ms):
    """Start a turn of a new program every `gap_ms`."""

    def send_next(number=0):
        if world.now_ms() < until_ms:
            crowd.turn(zone, f"{zone}-p{world.now_ms():.0f}", 20 * MOST_TOKENS, "")
            world.later(gap_ms, send_next, number + 1)

    send_next()


def retained_turns(world, crowd):
    """Returns the acknowledged turns that remain within retention for `CONTINUE_TIMEOUT_MS`."""
    since_ms = world.now_ms() - world.notes.sheet["keep"] + CONTINUE_TIMEOUT_MS
    retained = [turn for turn in crowd.turns if turn.ended_ms > since_ms]
    assert retained
    return retained


def holders(world, turn):
    """Returns the names of the storage daemons that store a turn's body."""
    return [d.name for d in world.of("storage") if d.owner is not None and turn.try_id in d.owner.turn_store.index]


def can_continue(world, crowd, turn):
    """Whether a turn can be continued; retries while the deployment is overloaded."""
    until_ms = world.now_ms() + CONTINUE_TIMEOUT_MS
    while world.now_ms() < until_ms:
        continuation = crowd.turn(world.zones[0], f"f-{turn.try_id}", 20 * MOST_TOKENS, turn.try_id)
        if await_(world, continuation, CONTINUE_TIMEOUT_MS) is not None:
            return True
    return False


def lost_turns(world, crowd, taken=()):
    """Returns retained turns without a copy, and those of the newest and of `taken` that cannot be continued."""
    retained = retained_turns(world, crowd)
    lost = [turn.try_id for turn in retained if not holders(world, turn)]
    return lost + [
        f"{turn.try_id} cannot be continued"
        for turn in (*taken, *retained[-CONTINUED_TURNS:])
        if not can_continue(world, crowd, turn)
    ]


def failures(world, operator, crowd, taken=()):
    """Returns what failed in a scenario: recovery, lost turns or violated invariants."""
    if settle(world, world.notes.sheet["recovery"]) < 0:
        return ["not recovered"]
    lost = [f"lost {turn}" for turn in lost_turns(world, crowd, taken)]
    document = await_(world, operator.read(world.now_ms() + 5000), 6000)
    return lost + [f"{violation.rule} {violation.text}" for violation in invariant_violations(world, document)]


def sequencer_of(world):
    """Returns the storage daemon that is the sequencer."""
    return next(d for d in world.of("storage") if d.owner is not None and is_sequencer(d.owner.ctx))


def fill(world, count, keep_ms, data=b"b" * 3000):
    """Store `count` completed turns and their bodies directly in the ledger and the turn stores."""
    leader, turns = sequencer_of(world).owner.ctx, [f"filled{number}" for number in range(count)]
    for start in range(0, count, FILL_BATCH_TURNS):
        for turn in turns[start : start + FILL_BATCH_TURNS]:
            submit(leader, BeginAttempt(turn, f"p-{turn}", 0, 1, "", 60000, (Candidate("filler", 1 << 20),)), 5000)
            submit(leader, EndAttempt(turn, 1, retention_ms=keep_ms), 5000)
            for daemon in world.of("storage"):
                store.put(daemon.owner.turn_store, turn, data)
        world.run(world.now_ms() + 40)
    world.run(world.now_ms() + 500)
    return turns
