"""Load and faults of the core simulation."""

from random import Random

from msgspec import Struct, field, msgpack

from frostpost.daemon.core import OperationDecided, holds_lease
from frostpost.ledger import singleton_roles
from frostpost.ledger.entities import Runner
from frostpost.ledger.operations import (
    VOTER_EXCHANGE_RULES,
    ClaimKey,
    Drain,
    Finish,
    Release,
    Reserve,
    Runners,
    SetConfig,
    Settle,
    Tick,
    Unclaim,
)
from frostpost.ledger.programs import history_entry
from frostpost.ledger.results import Reserved, Won
from frostpost.virtual_synchrony.events import OperationSubmitted, SetVoters
from frostpost.virtual_synchrony.quorum import is_majority

from . import world as worlds
from .core_faults import FAULTS, power_off_storage
from .evs_checks import Violation

encode = msgpack.Encoder().encode
BUDGET = 60
RUNNERS = tuple(Runner(f"r{n}", f"i{n}", "127.0.0.1", n, "pool", "a", 4) for n in range(4))


class Work(Struct):
    """The load: its rate, counts and violations seen while it runs."""

    random: Random
    every_ms: float = 15.0
    until_ms: float = 0.0
    asked: int = 0
    decided: int = 0
    breaks: list = []
    first_ms: dict = field(default_factory=dict)


def ask(world, name, op):
    """Submit an operation at a node."""
    node = world.nodes[name]
    if node.core is not None:
        world.ops[(node.endpoint.member, node.core.synchrony.last_operation_number + 1)] = op
    worlds.feed(world, name, OperationSubmitted(worlds.clock(world, node), encode(op)))


def serves(world, node):
    """Tell whether a node may serve now."""
    return node.core is not None and not node.frozen and holds_lease(node.core, worlds.clock(world, node))


def work(world, state):
    """Submit one random operation and schedule the next."""
    if world.now_ms > state.until_ms:
        return
    random = state.random
    worlds.at(world, random.expovariate(1 / state.every_ms), "call", work, state)
    able = [n for n in world.nodes.values() if serves(world, n)]
    if not able:
        return
    node = random.choice(able)
    state.asked += 1
    ledger, me = node.core.ledger, node.endpoint.member
    fence = singleton_roles.fencing_token(ledger, "list", me)
    if fence and not ledger.runners:
        return ask(world, node.name, Runners(fence, RUNNERS))
    fence = singleton_roles.fencing_token(ledger, "ticks", me)
    if fence and random.random() < 0.3:
        return ask(world, node.name, Tick(fence, 50))
    kind = random.random()
    if kind < 0.5:
        ask(
            world,
            node.name,
            Reserve(
                f"p{random.randrange(12)}",
                1 + random.randrange(9),
                BUDGET,
                1 << 40,
                ("pool",),
                tuple((r.name, r.instance) for r in random.sample(RUNNERS, 3)),
                (),
            ),
        )
    elif kind < 0.8:
        ask(world, node.name, ClaimKey(f"k{random.randrange(40)}", "d", 1 << 40))
    elif kind < 0.95:
        mark = ledger.configs.get("templates/t")
        ask(
            world,
            node.name,
            SetConfig("templates/t", str(state.asked), 1, mark.version if mark else 0, me.name, state.asked, ()),
        )
    elif kind < 0.97:
        revote(world, node, random)
    else:
        ask(world, node.name, Drain(f"r{random.randrange(4)}", random.random() < 0.3))


def revote(world, node, random):
    """Submit a change of voters that is allowed: one more or less, or an exchange for one that is away."""
    synchrony, before = node.core.synchrony, node.core.ledger.voters
    full = {n for n, p in synchrony.peers.items() if p.ready and p.configuration == synchrony.configuration.id}
    spare = sorted(full - set(before))
    absent = sorted(set(before) - {m.name for m in synchrony.configuration.members})
    if (
        spare
        and absent
        and node.core.ledger.rules >= VOTER_EXCHANGE_RULES
        and is_majority(before, full | ready_self(node))
    ):
        gone = random.choice(absent)
        after = (*(v for v in before if v != gone), random.choice(spare))
    elif spare and len(before) < 5 and random.random() < 0.6:
        after = (*before, random.choice(spare))
    elif len(before) > 3:
        gone = random.choice(before)
        after = tuple(v for v in before if v != gone)
    else:
        return
    if is_majority(after, full | ready_self(node)):
        ask(world, node.name, SetVoters(synchrony.configuration.id, before, after))


def ready_self(node):
    """The names of full copies that this node adds to its peers': its own, or none."""
    return {node.name} if node.core.synchrony.primary.ready else set()


def tap(state):
    """Return a function that hears all answers and follows up on reservations and claims."""

    def heard(world, node, answer):
        if not isinstance(answer, OperationDecided):
            return
        state.decided += 1
        if world.trap:
            world.trap = False
            worlds.at(world, 0, "call", power_off_storage)
        op = world.ops.get((node.endpoint.member, answer.number))
        follow(world, node, state.random, op, answer.result)

    return heard


def follow(world, node, random, asked, result):
    """Schedule the end of a reservation or claim."""
    wait_ms = random.random() * 150
    if isinstance(result, Reserved):
        op = (
            Release(result.index)
            if random.random() < 0.2
            else Settle(result.index, random.randint(0, result.amount), history_entry("in", f"out{result.index}"))
        )
        worlds.at(world, wait_ms, "call", later, node.name, node.life, op)
    elif isinstance(result, Won):
        op = Unclaim(asked.key) if random.random() < 0.2 else Finish(asked.key, "done", b"v")
        worlds.at(world, wait_ms, "call", later, node.name, node.life, op)


def later(world, name, life, op):
    """Submit an operation at the same life of a node, once it is not frozen."""
    node = world.nodes[name]
    if node.life != life or node.core is None:
        return
    if node.frozen:
        worlds.at(world, 20, "call", later, name, life, op)
        return
    ask(world, name, op)


def watch(world, state):
    """Check that no node serves under an old configuration after its lease."""
    if world.now_ms > state.until_ms + 20000:
        return
    worlds.at(world, 40, "call", watch, state)
    leased = []
    for node in world.nodes.values():
        if node.core is None or node.frozen:
            continue
        synchrony = node.core.synchrony
        id = synchrony.configuration.id
        if synchrony.primary.opened:
            state.first_ms.setdefault(id, world.now_ms)
        if serves(world, node):
            leased.append((node.name, id))
    for name, id in leased:
        for other, since_ms in state.first_ms.items():
            if other > id and world.now_ms > since_ms + world.bounds.lease_ms + 1:
                state.breaks.append(Violation("lease", f"{name} serves under {id} after {other}"))


def storm(world, random, until_ms, kinds, gap_ms=2500):
    """Schedule random faults until a time."""
    at_ms = 2500.0
    while at_ms < until_ms:
        kind = random.choice(kinds)
        worlds.at(world, at_ms - world.now_ms, "call", FAULTS[kind], random)
        world.trace.append((round(at_ms), kind))
        at_ms += random.uniform(20, gap_ms)
