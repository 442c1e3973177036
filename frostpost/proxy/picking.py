"""Which runner a request goes to, from what this daemon knows of their loads."""

from zlib import crc32

from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from frostpost.cluster.agent_context import now_ms
from frostpost.program_ledger.messages import Candidate

from .outcomes import Broken, Late, NotRun, NotSent
from .slot_overhead import countable_slots, overhead_of

FADE_MS = 1000
REST_MS = 200
MOST_REST_MS = 5000
TICK_S = 0.02
FAR = 0.1


class Load(Struct):
    """own: requests of this daemon there. others: requests of all others, as told at told_ms."""

    own: int = 0
    others: int = 0
    told_ms: int = 0
    failed: int = 0
    resting_until_ms: int = 0


class Waiter(Struct):
    """A request that waits for a runner with room."""

    rank: int
    number: int
    until_ms: int
    tried: tuple[str, ...]
    salt: str
    placed: Deferred


def load_of(agent, runner_id):
    """What is known of a runner's load."""
    load = agent.loads.get(runner_id)
    if load is None:
        load = agent.loads[runner_id] = Load()
    return load


def by_service(agent):
    """Runners of each service; agent.runners is replaced as a whole, never changed in place."""
    held = agent.attachments.get("by_service")
    if held is None or held[0] is not agent.runners:
        index = {}
        for runner in agent.runners.values():
            if not runner.draining:
                index.setdefault(runner.service, []).append(runner)
        held = agent.attachments["by_service"] = (agent.runners, index)
    return held[1]


def usable(agent, service, tried=()):
    """Runners of a service that are not draining, tried or resting; never more than half of them rest."""
    known = by_service(agent).get(service.name, ())
    now = now_ms(agent)
    resting = [r for r in known if r.id in agent.loads and agent.loads[r.id].resting_until_ms > now]
    if len(resting) > len(known) // 2:
        resting.sort(key=lambda r: -agent.loads[r.id].resting_until_ms)
        resting = resting[: len(known) // 2]
    out = {r.id for r in resting}
    return [r for r in known if r.id not in out and r.id not in tried]


def occupied(agent, runner, now):
    """How many slots of a runner are taken, as far as this daemon knows."""
    load = agent.loads.get(runner.id)
    if load is None:
        return 0.0
    age = now - load.told_ms
    return load.own + (load.others * (1 - age / FADE_MS) if age < FADE_MS else 0.0)


def slots_of(service, runner):
    """How many requests a runner works on at once."""
    return max(1, runner.slots or service.slots)


def pick(agent, service, tried=(), salt=""):
    """The least loaded runner that has room, or None."""
    now, zone = now_ms(agent), getattr(agent.settings, "zone", "")
    best, lowest = None, None
    for runner in usable(agent, service, tried):
        slots, busy = slots_of(service, runner), occupied(agent, runner, now)
        if busy >= slots + max(1, slots // 4):
            continue
        cost = (busy / slots + (FAR if runner.zone != zone else 0.0), crc32((runner.id + salt).encode()))
        if lowest is None or cost < lowest:
            best, lowest = runner, cost
    return best


def candidates(agent, service, tried=()):
    """What the ledger may choose from."""
    overhead = overhead_of(agent, service.name)
    return tuple(
        Candidate(r.id, countable_slots(overhead, slots_of(service, r))) for r in usable(agent, service, tried)
    )


def place(agent, route, service, tried, salt, until_ms):
    """A runner with room, at once or inside the time; requests of a higher rank come first."""
    queue = agent.attachments.setdefault("queues", {}).setdefault(service.name, [])
    if not queue:
        runner = pick(agent, service, tried, salt)
        if runner is not None or until_ms <= now_ms(agent):
            return succeed(runner)
        agent.reactor.callLater(TICK_S, serve_queue, agent, service, queue)
    number = agent.attachments["waiter"] = agent.attachments.get("waiter", 0) + 1
    waiter = Waiter(route.rank, number, until_ms, tuple(tried), salt, Deferred())
    queue.append(waiter)
    return waiter.placed


def serve_queue(agent, service, queue):
    """Place waiting requests, the most urgent first, and end the wait of those whose time is up."""
    now = now_ms(agent)
    for waiter in sorted(queue, key=lambda w: (w.rank, w.number)):
        runner = pick(agent, service, waiter.tried, waiter.salt)
        if runner is not None or waiter.until_ms <= now:
            queue.remove(waiter)
            waiter.placed.callback(runner)
    if queue:
        agent.reactor.callLater(TICK_S, serve_queue, agent, service, queue)


def sent(agent, runner):
    """Count a request that is being sent to a runner."""
    load_of(agent, runner.id).own += 1


def ended(agent, runner, outcome, head):
    """Learn from how a send ended; head is None when none came."""
    load = load_of(agent, runner.id)
    load.own -= 1
    now = now_ms(agent)
    if head is not None and head.load is not None:
        load.others, load.told_ms = max(0, head.load[0] + head.load[1] - load.own - 1), now
    elif isinstance(outcome, NotRun) and outcome.status != 421:
        load.others, load.told_ms = max(load.others, runner.slots), now
    if troubled(outcome, head):
        load.failed += 1
        load.resting_until_ms = now + min(MOST_REST_MS, REST_MS << min(load.failed, 8))
    elif head is not None:
        load.failed, load.resting_until_ms = 0, 0


def troubled(outcome, head):
    """It speaks against the runner, not against the request or its client."""
    if isinstance(outcome, NotSent):
        return outcome.why == "connect"
    if isinstance(outcome, NotRun):
        return outcome.status == 421
    return isinstance(outcome, Broken) or isinstance(outcome, Late) and head is None
