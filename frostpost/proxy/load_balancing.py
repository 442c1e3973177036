"""Runner selection based on this daemon's view of the runners' load."""

from zlib import crc32

from msgspec import Struct
from twisted.internet.defer import Deferred, succeed

from frostpost.cluster.agent_context import now_ms
from frostpost.program_ledger.messages import Candidate

from . import service_demand
from .outcomes import Broken, Late, NotRun, NotSent
from .slot_overhead import countable_slots, overhead_of

REPORT_DECAY_MS = 1000
EJECTION_MS = 200
MAX_EJECTION_MS = 5000
QUEUE_POLL_S = 0.02
REMOTE_ZONE_COST = 0.1


class Load(Struct):
    """The load of a runner.

    own_requests: requests in flight from this daemon. other_requests: those of other daemons, reported at reported_ms.
    ejected_until_ms: until when the runner gets no requests after consecutive failures.
    """

    own_requests: int = 0
    other_requests: int = 0
    reported_ms: int = 0
    consecutive_failures: int = 0
    ejected_until_ms: int = 0


class Waiter(Struct):
    """A queued request waiting for a runner with a free slot."""

    rank: int
    sequence: int
    until_ms: int
    tried: tuple[str, ...]
    salt: str
    assigned: Deferred


def load_of(agent, runner_id):
    """Return the load record of a runner; created on first use."""
    load = agent.loads.get(runner_id)
    if load is None:
        load = agent.loads[runner_id] = Load()
    return load


def runners_by_service(agent):
    """Return the runners of each service that are not draining.

    The index is rebuilt when `agent.runners` is replaced; that dict is never modified in place.
    """
    cached = agent.attachments.get("by_service")
    if cached is None or cached[0] is not agent.runners:
        index = {}
        for runner in agent.runners.values():
            if not runner.draining:
                index.setdefault(runner.service, []).append(runner)
        cached = agent.attachments["by_service"] = (agent.runners, index)
    return cached[1]


def available_runners(agent, service, tried=()):
    """Return the runners of a service that are not draining, tried or ejected; at most half of them are ejected."""
    known = runners_by_service(agent).get(service.name, ())
    now = now_ms(agent)
    ejected = [r for r in known if r.id in agent.loads and agent.loads[r.id].ejected_until_ms > now]
    if len(ejected) > len(known) // 2:
        ejected.sort(key=lambda r: -agent.loads[r.id].ejected_until_ms)
        ejected = ejected[: len(known) // 2]
    ejected_ids = {r.id for r in ejected}
    return [r for r in known if r.id not in ejected_ids and r.id not in tried]


def occupied_slots(agent, runner, now):
    """Return the estimated number of slots in use at a runner."""
    load = agent.loads.get(runner.id)
    if load is None:
        return 0.0
    age_ms = now - load.reported_ms
    return load.own_requests + (
        load.other_requests * (1 - age_ms / REPORT_DECAY_MS) if age_ms < REPORT_DECAY_MS else 0.0
    )


def slots_of(service, runner):
    """Return how many requests a runner executes concurrently."""
    return max(1, runner.slots or service.slots)


def pick_runner(agent, service, tried=(), salt=""):
    """Return the least loaded runner with a free slot, or None."""
    now, zone = now_ms(agent), getattr(agent.settings, "zone", "")
    selected, lowest = None, None
    for runner in available_runners(agent, service, tried):
        slots, occupied = slots_of(service, runner), occupied_slots(agent, runner, now)
        if occupied >= slots + max(1, slots // 4):
            continue
        cost = (
            occupied / slots + (REMOTE_ZONE_COST if runner.zone != zone else 0.0),
            crc32((runner.id + salt).encode()),
        )
        if lowest is None or cost < lowest:
            selected, lowest = runner, cost
    return selected


def candidates(agent, service, tried=()):
    """Return the runners that the ledger may choose from."""
    overhead = overhead_of(agent, service.name)
    return tuple(
        Candidate(r.id, countable_slots(overhead, slots_of(service, r)))
        for r in available_runners(agent, service, tried)
    )


def wait_for_runner(agent, route, service, tried, salt, until_ms):
    """Return a Deferred of a runner with a free slot, or of None if there is none until until_ms.

    Queued requests are served by rank, then in order of arrival.
    """
    queue = agent.attachments.setdefault("queues", {}).setdefault(service.name, [])
    if not queue:
        runner = pick_runner(agent, service, tried, salt)
        if runner is not None or until_ms <= now_ms(agent):
            return succeed(runner)
        agent.reactor.callLater(QUEUE_POLL_S, assign_queued, agent, service, queue)
    sequence = agent.attachments["waiter"] = agent.attachments.get("waiter", 0) + 1
    waiter = Waiter(route.rank, sequence, until_ms, tuple(tried), salt, Deferred())
    queue.append(waiter)
    service_demand.on_started(agent, service.name)
    return waiter.assigned


def assign_queued(agent, service, queue):
    """Assign runners to queued requests in order of urgency, and expire those whose wait is over."""
    now = now_ms(agent)
    for waiter in sorted(queue, key=lambda w: (w.rank, w.sequence)):
        runner = pick_runner(agent, service, waiter.tried, waiter.salt)
        if runner is not None or waiter.until_ms <= now:
            queue.remove(waiter)
            service_demand.on_ended(agent, service.name)
            waiter.assigned.callback(runner)
    if queue:
        agent.reactor.callLater(QUEUE_POLL_S, assign_queued, agent, service, queue)


def count_sent(agent, runner):
    """Count a request that is being sent to a runner."""
    load_of(agent, runner.id).own_requests += 1
    service_demand.on_started(agent, runner.service)


def count_ended(agent, runner, outcome, head):
    """Update a runner's load after a send; head is None if no response head was received."""
    load = load_of(agent, runner.id)
    load.own_requests -= 1
    service_demand.on_ended(agent, runner.service)
    now = now_ms(agent)
    if head is not None and head.load is not None:
        load.other_requests, load.reported_ms = max(0, head.load[0] + head.load[1] - load.own_requests - 1), now
    elif isinstance(outcome, NotRun) and outcome.status != 421:
        load.other_requests, load.reported_ms = max(load.other_requests, runner.slots), now
    if is_runner_failure(outcome, head):
        load.consecutive_failures += 1
        load.ejected_until_ms = now + min(MAX_EJECTION_MS, EJECTION_MS << min(load.consecutive_failures, 8))
    elif head is not None:
        load.consecutive_failures, load.ejected_until_ms = 0, 0


def is_runner_failure(outcome, head):
    """Return whether an outcome indicates a failure of the runner, not of the request or its client."""
    if isinstance(outcome, NotSent):
        return outcome.why == "connect"
    if isinstance(outcome, NotRun):
        return outcome.status == 421
    return isinstance(outcome, Broken) or isinstance(outcome, Late) and head is None
