"""Schedule of platform tasks at the leader: which agent is offered a task that is due.

An offer only saves claims that would be refused; that one daemon at a time runs a task is decided by the leases in the
ledger. The owner of a subject's lease is offered its tasks as long as it renews its own lease and reaches the platform,
since each change of the owner costs the time of a lease. Otherwise daemons without clients come first.
"""

from msgspec import Struct

from frostpost.daemon.structured_log import log_event
from frostpost.program_ledger import task_leases
from frostpost.virtual_synchrony.task_messages import TaskOffer

SERVING_ROLE = "edge"
# An agent that takes an offer owns the lease within this time; else the task is offered again.
OFFER_MS = 1000
# After this time without a renewal an agent counts as gone.
PRESENT_MS = 1000
# Agents that serve clients are offered tasks only after this time without one that doesn't.
SERVING_AGENT_DELAY_MS = 2000
# Share of the platform's rate of such calls that offers may use.
RATE_RATIO = 0.5
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 250, 4000
# Calls of one agent for a task that get no answer, after which the task is offered to others. Each call extends the
# lease for which the others have to wait.
MAX_UNANSWERED = 1


class Offer(Struct):
    """An offer of the task with this number to an agent, until offered_until_ms on the leader's clock."""

    agent: str
    number: int
    offered_until_ms: int


class Backoff(Struct):
    """Failed calls in a row for a subject; no offer before until_ms. unanswered: calls without an answer, by agent."""

    number: int
    failures: int = 0
    until_ms: int = 0
    unanswered: dict[str, int] = {}


class TaskAgent(Struct, frozen=True):
    """An agent that can run tasks: when it last renewed its lease, and whether it serves clients."""

    renewed_ms: int
    serves_clients: bool


class TaskSchedule(Struct):
    """Soft state of the leader. offers, backoffs: by key of the lease. agents: those that can run tasks, by name.

    next_offer_ms: keeps the joint rate. last_renewed_ms: the last renewal of any of them. serving_only_ms: since when
    only agents with clients have renewed.
    """

    offers: dict[str, Offer] = {}
    backoffs: dict[str, Backoff] = {}
    agents: dict[str, TaskAgent] = {}
    next_offer_ms: int = 0
    last_renewed_ms: int = 0
    serving_only_ms: int = 0


def offers_for(schedule, ledger, settings, endpoint, now_ms):
    """The tasks that are offered to an agent that can run tasks and renews its lease now, as a tuple of TaskOffer."""
    name, tasks = endpoint.member.name, ledger.program_ledger.tasks
    record_renewal(schedule, name, endpoint.role == SERVING_ROLE, now_ms)
    offered = []
    for kind, subject in task_leases.due_subjects(tasks):
        if now_ms < schedule.next_offer_ms:
            break
        task = task_leases.due_task(tasks, kind, subject)
        key, lease = task_leases.lease_key(kind, subject), task_leases.lease_of(ledger.program_ledger, kind, subject)
        if kind not in settings.platform_tasks or not may_offer(schedule, key, task, now_ms):
            continue
        if not is_turn_of(schedule, key, name, lease, ledger.clock_ms, now_ms):
            continue
        schedule.offers[key] = Offer(name, task.number, now_ms + OFFER_MS)
        schedule.next_offer_ms = now_ms + int(1000 / max(0.001, RATE_RATIO * settings.tasks_per_s))
        log_event("task_offered", task=kind, subject=subject, number=task.number, agent=name)
        offered.append(TaskOffer(kind, subject))
    return tuple(offered)


def record_renewal(schedule, name, serves_clients, now_ms):
    """Record that an agent which can run tasks renews its lease."""
    if not serves_clients or now_ms - schedule.last_renewed_ms > SERVING_AGENT_DELAY_MS:
        schedule.serving_only_ms = now_ms
    schedule.agents[name], schedule.last_renewed_ms = TaskAgent(now_ms, serves_clients), now_ms


def present_agents(schedule, now_ms):
    """Forget the agents that are gone, and return the names of all others."""
    schedule.agents = {n: agent for n, agent in schedule.agents.items() if now_ms - agent.renewed_ms <= PRESENT_MS}
    return set(schedule.agents)


def may_offer(schedule, key, task, now_ms):
    """Whether a task is neither on offer nor to be left alone after a failure."""
    offer, backoff = schedule.offers.get(key), schedule.backoffs.get(key)
    if backoff is not None and backoff.number != task.number:
        del schedule.backoffs[key]
    elif backoff is not None and now_ms < backoff.until_ms:
        return False
    return offer is None or offer.number != task.number or now_ms >= offer.offered_until_ms


def is_turn_of(schedule, key, name, lease, ledger_ms, now_ms):
    """Whether this agent, of all that are present, is the one to be offered a task."""
    if lease is not None and lease.until_ms > ledger_ms and lease.owner != name:
        return False
    present, backoff = present_agents(schedule, now_ms), schedule.backoffs.get(key)
    unanswered = backoff.unanswered if backoff is not None else {}
    reaching = {n for n in present if unanswered.get(n, 0) < MAX_UNANSWERED} or present
    without_clients = {n for n in reaching if not schedule.agents[n].serves_clients}
    if lease is not None and lease.owner in reaching and (lease.owner in without_clients or lease.until_ms > ledger_ms):
        return lease.owner == name
    if without_clients:
        return name in without_clients
    has_waited = now_ms - schedule.serving_only_ms >= SERVING_AGENT_DELAY_MS
    return name in reaching and (has_waited or bool(unanswered))


def on_failure(schedule, ledger, agent_name, message, now_ms):
    """Offer a task whose call failed again, after a time that grows with the failures in a row.

    A failure of another task than the one that is due came late and is ignored.
    """
    key = task_leases.lease_key(message.kind, message.subject)
    task = task_leases.due_task(ledger.program_ledger.tasks, message.kind, message.subject)
    if task is None or task.number != message.number:
        return
    schedule.offers.pop(key, None)
    backoff = schedule.backoffs.get(key)
    if backoff is None or backoff.number != task.number:
        backoff = schedule.backoffs[key] = Backoff(task.number)
    backoff_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(backoff.failures, 8))
    backoff.failures += 1
    backoff.until_ms = now_ms + max(backoff_ms, message.retry_ms)
    if not message.reachable:
        backoff.unanswered[agent_name] = backoff.unanswered.get(agent_name, 0) + 1
