"""Random load and scheduled faults of the core simulation, and a check of leases while it runs."""

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


class Load(Struct):
    """The rate of the load, its counts, and violations found while it runs."""

    random: Random
    mean_interval_ms: float = 15.0
    until_ms: float = 0.0
    submitted_count: int = 0
    decided_count: int = 0
    violations: list = []
    opened_ms: dict = field(default_factory=dict)


def submit(world, name, operation):
    """Submit an operation at a node and remember it by the number that the node will give it."""
    node = world.nodes[name]
    if node.core is not None:
        world.submitted_operations[(node.endpoint.member, node.core.synchrony.last_operation_number + 1)] = operation
    worlds.deliver_input(world, name, OperationSubmitted(worlds.clock_ms(world, node), encode(operation)))


def serves(world, node):
    """Return whether a node runs and holds a lease."""
    return node.core is not None and not node.frozen and holds_lease(node.core, worlds.clock_ms(world, node))


def run_load(world, state):
    """Submit one random operation at a node that serves, and schedule the next call."""
    if world.now_ms > state.until_ms:
        return
    random = state.random
    worlds.schedule(world, random.expovariate(1 / state.mean_interval_ms), "call", run_load, state)
    serving = [n for n in world.nodes.values() if serves(world, n)]
    if not serving:
        return
    node = random.choice(serving)
    state.submitted_count += 1
    ledger, member = node.core.ledger, node.endpoint.member
    token = singleton_roles.fencing_token(ledger, "list", member)
    if token and not ledger.runners:
        return submit(world, node.name, Runners(token, RUNNERS))
    token = singleton_roles.fencing_token(ledger, "ticks", member)
    if token and random.random() < 0.3:
        return submit(world, node.name, Tick(token, 50))
    kind = random.random()
    if kind < 0.5:
        submit(
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
        submit(world, node.name, ClaimKey(f"k{random.randrange(40)}", "d", 1 << 40))
    elif kind < 0.95:
        current = ledger.configs.get("templates/t")
        submit(
            world,
            node.name,
            SetConfig(
                "templates/t",
                str(state.submitted_count),
                1,
                current.version if current else 0,
                member.name,
                state.submitted_count,
                (),
            ),
        )
    elif kind < 0.97:
        change_voters(world, node, random)
    else:
        submit(world, node.name, Drain(f"r{random.randrange(4)}", random.random() < 0.3))


def change_voters(world, node, random):
    """Submit a permitted change of voters: add one, remove one, or replace one that is not in the configuration."""
    synchrony, before = node.core.synchrony, node.core.ledger.voters
    ready_names = {n for n, p in synchrony.peers.items() if p.ready and p.configuration == synchrony.configuration.id}
    candidates = sorted(ready_names - set(before))
    absent = sorted(set(before) - {m.name for m in synchrony.configuration.members})
    if (
        candidates
        and absent
        and node.core.ledger.rules >= VOTER_EXCHANGE_RULES
        and is_majority(before, ready_names | own_ready_name(node))
    ):
        removed = random.choice(absent)
        after = (*(v for v in before if v != removed), random.choice(candidates))
    elif candidates and len(before) < 5 and random.random() < 0.6:
        after = (*before, random.choice(candidates))
    elif len(before) > 3:
        removed = random.choice(before)
        after = tuple(v for v in before if v != removed)
    else:
        return
    if is_majority(after, ready_names | own_ready_name(node)):
        submit(world, node.name, SetVoters(synchrony.configuration.id, before, after))


def own_ready_name(node):
    """Return the node's own name in a set if its copy is ready, else an empty set."""
    return {node.name} if node.core.synchrony.primary.ready else set()


def observer(state):
    """Return a callback for notifications that counts decisions and schedules the end of reservations and claims."""

    def on_notification(world, node, notification):
        if not isinstance(notification, OperationDecided):
            return
        state.decided_count += 1
        if world.power_cut_pending:
            world.power_cut_pending = False
            worlds.schedule(world, 0, "call", power_off_storage)
        operation = world.submitted_operations.get((node.endpoint.member, notification.number))
        schedule_end(world, node, state.random, operation, notification.result)

    return on_notification


def schedule_end(world, node, random, operation, result):
    """Schedule the end of a reservation that was granted or a claim that was won."""
    wait_ms = random.random() * 150
    if isinstance(result, Reserved):
        ending = (
            Release(result.index)
            if random.random() < 0.2
            else Settle(result.index, random.randint(0, result.amount), history_entry("in", f"out{result.index}"))
        )
        worlds.schedule(world, wait_ms, "call", submit_later, node.name, node.generation, ending)
    elif isinstance(result, Won):
        ending = Unclaim(operation.key) if random.random() < 0.2 else Finish(operation.key, "done", b"v")
        worlds.schedule(world, wait_ms, "call", submit_later, node.name, node.generation, ending)


def submit_later(world, name, generation, operation):
    """Submit an operation once a node is not frozen, unless the node was killed or restarted meanwhile."""
    node = world.nodes[name]
    if node.generation != generation or node.core is None:
        return
    if node.frozen:
        worlds.schedule(world, 20, "call", submit_later, name, generation, operation)
        return
    submit(world, name, operation)


def watch_leases(world, state):
    """Check that no node serves under an old configuration longer than a lease after a newer one was opened."""
    if world.now_ms > state.until_ms + 20000:
        return
    worlds.schedule(world, 40, "call", watch_leases, state)
    serving = []
    for node in world.nodes.values():
        if node.core is None or node.frozen:
            continue
        synchrony = node.core.synchrony
        configuration_id = synchrony.configuration.id
        if synchrony.primary.opened:
            state.opened_ms.setdefault(configuration_id, world.now_ms)
        if serves(world, node):
            serving.append((node.name, configuration_id))
    for name, configuration_id in serving:
        for newer_id, since_ms in state.opened_ms.items():
            if newer_id > configuration_id and world.now_ms > since_ms + world.bounds.lease_ms + 1:
                state.violations.append(Violation("lease", f"{name} serves under {configuration_id} after {newer_id}"))


def schedule_faults(world, random, until_ms, kinds, gap_ms=2500):
    """Schedule random faults of the given kinds up to a virtual time; `gap_ms` bounds the time between two."""
    fault_ms = 2500.0
    while fault_ms < until_ms:
        kind = random.choice(kinds)
        worlds.schedule(world, fault_ms - world.now_ms, "call", FAULTS[kind], random)
        world.trace.append((round(fault_ms), kind))
        fault_ms += random.uniform(20, gap_ms)
