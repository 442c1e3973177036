"""Steps of stories about copies: machines replaced, emptied and wiped, and what became of what was acknowledged."""

from frostpost.cluster.agent_sessions import is_sequencer
from frostpost.daemon.event_loop import submit
from frostpost.program_ledger.messages import BeginAttempt, Candidate, EndAttempt
from frostpost.turn_store import store

from . import bearing
from . import world as worlds
from .crowd import MOST_TOKENS
from .play import judged
from .stage import await_, crowd_of, open_, settle

EMPTIED_MS = 9000
FOLLOW_MARGIN_MS = 3000
FOLLOWED = 12
FILL_TURNS = 400


def quiet(seed, shape=None):
    """A deployment that has founded itself, with an operator and a crowd; no trouble and no odd runners."""
    world, operators, status, took_ms = open_(seed, shape)
    assert status == 200 and took_ms >= 0
    world.run(world.now_ms() + 1000)
    return world, operators[0], crowd_of(world, "c")


def join(world, zone, wait_ms=0):
    """An empty storage machine that joins."""
    world.serial += 1
    fresh = worlds.add(world, f"storage-{zone}-x{world.serial}", "storage", zone)
    fresh.first = False
    world.later(wait_ms, worlds.start, world, fresh)
    return fresh


def lose(world, daemon):
    """A machine is gone for good, its disk with it."""
    worlds.wipe(world, daemon)
    daemon.gone = True


def wipe(world, daemon, back_ms):
    """A machine loses its power and its disk, and comes back empty."""
    worlds.wipe(world, daemon)
    world.later(back_ms, worlds.start, world, daemon)


def replace(world, daemon, wait_ms=200):
    lose(world, daemon)
    return join(world, daemon.zone, wait_ms)


def power_off(world, daemons, back_ms):
    for daemon in daemons:
        worlds.kill(world, daemon, True)
        world.later(back_ms, worlds.start, world, daemon)


def caught_up(world):
    """Run on until a loss that has just been made good is over."""
    world.run(world.now_ms() + bearing.CATCH_UP_MS)


def emptied(world, operator, daemon):
    """Ask for a machine to be emptied until enough others are there, and run until it may go; -> whether it came."""
    until_ms, asked = world.now_ms() + EMPTIED_MS, False
    while world.now_ms() < until_ms:
        if not asked:
            call = operator.call_until_conclusive(
                "POST", f"Retire.Initiate/{daemon.name}", {"deadline-s": 10}, until_ms=until_ms
            )
            answer = await_(world, call, EMPTIED_MS)
            asked = answer is not None and answer.status == 200
        if daemon.owner.ctx.core.ledger.program_ledger.retiring.get(daemon.name) == "completed":
            return True
        world.run(world.now_ms() + 5)
    return False


def steady(world, crowd, zone, gap_ms, until_ms):
    """Turns of a program of their own each, one every gap_ms."""

    def next_(number=0):
        if world.now_ms() < until_ms:
            crowd.turn(zone, f"{zone}-p{world.now_ms():.0f}", 20 * MOST_TOKENS, "")
            world.later(gap_ms, next_, number + 1)

    next_()


def kept_turns(world, crowd):
    """Turns that were acknowledged and stay inside retention for a while."""
    since_ms = world.now_ms() - world.notes.sheet["keep"] + FOLLOW_MARGIN_MS
    kept = [turn for turn in crowd.turns if turn.ended_ms > since_ms]
    assert kept
    return kept


def holders(world, turn):
    """Storage machines that hold a turn's body on disk."""
    return [d.name for d in world.of("storage") if d.owner is not None and turn.try_id in d.owner.turn_store.index]


def follow(world, crowd, turn):
    """Whether a turn can be followed; a crowd that presses is waited out."""
    until_ms = world.now_ms() + FOLLOW_MARGIN_MS
    while world.now_ms() < until_ms:
        followed = crowd.turn(world.zones[0], f"f-{turn.try_id}", 20 * MOST_TOKENS, turn.try_id)
        if await_(world, followed, FOLLOW_MARGIN_MS) is not None:
            return True
    return False


def unfollowed(world, crowd, taken=()):
    """Kept turns that no machine holds, and of the newest and of those in `taken` the ones that can't be followed."""
    kept = kept_turns(world, crowd)
    lost = [turn.try_id for turn in kept if not holders(world, turn)]
    return lost + [
        f"{turn.try_id} not followed" for turn in (*taken, *kept[-FOLLOWED:]) if not follow(world, crowd, turn)
    ]


def verdict(world, operator, crowd, taken=()):
    """What is wrong after a story: not back, turns lost, rules broken."""
    if settle(world, world.notes.sheet["recovery"]) < 0:
        return ["not back"]
    lost = [f"lost {turn}" for turn in unfollowed(world, crowd, taken)]
    document = await_(world, operator.read(world.now_ms() + 5000), 6000)
    return lost + [f"{b.rule} {b.text}" for b in judged(world, document)]


def sequencer_of(world):
    """The storage machine that orders."""
    return next(d for d in world.of("storage") if d.owner is not None and is_sequencer(d.owner.ctx))


def fill(world, count, keep_ms, data=b"b" * 3000):
    """Put that many ended turns, and their bodies, where the traffic of a minute and more would have put them."""
    leader, turns = sequencer_of(world).owner.ctx, [f"filled{number}" for number in range(count)]
    for at in range(0, count, FILL_TURNS):
        for turn in turns[at : at + FILL_TURNS]:
            submit(leader, BeginAttempt(turn, f"p-{turn}", 0, 1, "", 60000, (Candidate("filler", 1 << 20),)), 5000)
            submit(leader, EndAttempt(turn, 1, retention_ms=keep_ms), 5000)
            for daemon in world.of("storage"):
                store.put(daemon.owner.turn_store, turn, data)
        world.run(world.now_ms() + 40)
    world.run(world.now_ms() + 500)
    return turns
