"""Runner selection based on this daemon's view of the runners' load."""

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
    """The load of a runner.

    own: requests in flight from this daemon. others: requests of other daemons, reported at told_ms. failed:
    consecutive failures. resting_until_ms: until when the runner is ejected.
    """

    own: int = 0
    others: int = 0
    told_ms: int = 0
    failed: int = 0
    resting_until_ms: int = 0


class Waiter(Struct):
    """A queued request waiting for a runner with a free slot."""

    rank: int
    number: int
    until_ms: int
    tried: tuple[str, ...]
    salt: str
    placed: Deferred


def load_of(agent, runner_id):
    """Return the load record of a runner; created on first use."""
    load = agent.loads.get(runner_id)
    if load is None:
        load = agent.loads[runner_id] = Load()
    return load


def by_service(agent):
    """Return the runners of each service that are not draining.

    The index is rebuilt when `agent.runners` is replaced; that dict is never modified in place.
    """
    held = agent.extras.get("by_service")
    if held is None or held[0] is not agent.runners:
        index = {}
        for runner in agent.runners.values():
            if not runner.draining:
                index.setdefault(runner.service, []).append(runner)
        held = agent.extras["by_service"] = (agent.runners, index)
    return held[1]


def usable(agent, service, tried=()):
    """Return the runners of a service that are not draining, tried or ejected; at most half of them are ejected."""
    known = by_service(agent).get(service.name, ())
    now = now_ms(agent)
    resting = [r for r in known if r.id in agent.loads and agent.loads[r.id].resting_until_ms > now]
    if len(resting) > len(known) // 2:
        resting.sort(key=lambda r: -agent.loads[r.id].resting_until_ms)
        resting = resting[: len(known) // 2]
    out = {r.id for r in resting}
    return [r for r in known if r.id not in out and r.id not in tried]


def occupied(agent, runner, now):
    """Return the estimated number of slots in use at a runner."""
    load = agent.loads.get(runner.id)
    if load is None:
        return 0.0
    age = now - load.told_ms
    return load.own + (load.others * (1 - age / FADE_MS) if age < FADE_MS else 0.0)


def slots_of(service, runner):
    """Return how many requests a runner executes concurrently."""
    return max(1, runner.slots or service.slots)


def pick(agent, service, tried=(), salt=""):
    """Return the least loaded runner with a free slot, or None."""
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
    """Return the runners that the ledger may choose from."""
    overhead = overhead_of(agent, service.name)
    return tuple(
        Candidate(r.id, countable_slots(overhead, slots_of(service, r))) for r in usable(agent, service, tried)
    )


def place(agent, route, service, tried, salt, until_ms):
    """Return a Deferred of a runner with a free slot, or of None if there is none until until_ms.

    Queued requests are served by rank, then in order of arrival.
    """
    queue = agent.extras.setdefault("queues", {}).setdefault(service.name, [])
    if not queue:
        runner = pick(agent, service, tried, salt)
        if runner is not None or until_ms <= now_ms(agent):
            return succeed(runner)
        agent.reactor.callLater(TICK_S, serve_queue, agent, service, queue)
    number = agent.extras["waiter"] = agent.extras.get("waiter", 0) + 1
    waiter = Waiter(route.rank, number, until_ms, tuple(tried), salt, Deferred())
    queue.append(waiter)
    return waiter.placed


def serve_queue(agent, service, queue):
    """Assign runners to queued requests in order of urgency, and expire those whose wait is over."""
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
    """Update a runner's load after a send; head is None if no response head was received."""
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
    """Return whether an outcome indicates a failure of the runner, not of the request or its client."""
    if isinstance(outcome, NotSent):
        return outcome.why == "connect"
    if isinstance(outcome, NotRun):
        return outcome.status == 421
    return isinstance(outcome, Broken) or isinstance(outcome, Late) and head is None
