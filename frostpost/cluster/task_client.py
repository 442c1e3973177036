"""Platform tasks at an agent: claims a task that is offered, makes its call and records that it is complete.

The daemon may call only for `task_call_ms`, counted from before it claimed the lease. That is checked immediately
before the call is written, since the process may have been stopped in between, and the call is aborted when it ends.
Another daemon gets the lease only later, see `DaemonSettings.task_lease_ms`.
"""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks, maybeDeferred

from frostpost.daemon.structured_log import log_event
from frostpost.program_ledger.task_messages import ClaimTask, CompleteTask, TaskGranted
from frostpost.virtual_synchrony.task_messages import TaskFailed

from .agent_context import count, now_ms
from .lease_client import can_run_tasks, replica_addresses, session_of
from .operation_client import call_replicas, submit_until_decided

CLAIM_WAIT_MS = 1000


class TaskOutcome(Struct, frozen=True):
    """How the call of a task ended.

    status: the platform's, 0 without an answer. retry_ms: the earliest time for the next call that the platform asks
    for. reason: type of the failure, empty if the task was accepted.
    """

    status: int = 0
    retry_ms: int = 0
    reason: str = ""

    @property
    def is_accepted(self):
        """Whether the platform accepted the task."""
        return not self.reason


def on_task_offers(agent, offers):
    """Run the tasks on offer, each subject at most once at a time."""
    running = agent.attachments.setdefault("running_tasks", set())
    for offer in offers:
        if offer not in running and can_run_tasks(agent):
            running.add(offer)
            run_task(agent, offer).addBoth(on_finished, running, offer)


def on_finished(result, running, offer):
    """Let the subject be offered again; an error that was not expected is logged."""
    running.discard(offer)
    if result is not None:
        log_event("Internal", type=result.type.__name__, text=result.getErrorMessage()[:200])


@inlineCallbacks
def run_task(agent, offer):
    """Claim the lease of a subject and run the task that is due."""
    settings, claimed_ms = agent.settings, now_ms(agent)
    until_ms = claimed_ms + settings.task_call_ms
    claim = ClaimTask(offer.kind, offer.subject, settings.name, settings.task_lease_ms)
    result = yield call_replicas(agent, claim, min(CLAIM_WAIT_MS, settings.task_call_ms))
    if result.is_error() or not isinstance(result.ok, TaskGranted):
        count(agent, "tasks_not_won")
        return
    grant = result.ok
    fields = {"task": offer.kind, "subject": offer.subject, "fence": grant.fence, "number": grant.task.number}
    log_event("task_won", **fields, took_ms=now_ms(agent) - claimed_ms)
    called_ms = now_ms(agent)
    outcome = yield call_platform(agent, grant, until_ms)
    took_ms = now_ms(agent) - called_ms
    if outcome.is_accepted:
        count(agent, "tasks_completed")
        log_event("task_call", **fields, status=outcome.status, took_ms=took_ms)
        operation = CompleteTask(offer.kind, offer.subject, settings.name, grant.fence, grant.task.number)
        yield submit_until_decided(agent, operation)
        return
    count(agent, "tasks_failed")
    log_event("task_failed", **fields, status=outcome.status, reason=outcome.reason, took_ms=took_ms)
    report_failure(agent, offer, grant.task.number, outcome)


@inlineCallbacks
def call_platform(agent, grant, until_ms):
    """Make the call of a task, as long as this daemon may. Returns Deferred[TaskOutcome]."""

    def may_send():
        return now_ms(agent) < until_ms

    if not may_send():
        return TaskOutcome(reason="late")
    call_task = agent.attachments["call_task"]
    timeout_ms = until_ms - now_ms(agent)
    outcome = yield maybeDeferred(call_task, agent, grant.task, grant.fence, timeout_ms, may_send)
    return outcome


def report_failure(agent, offer, number, outcome):
    """Tell the leader of a failed call, so that the task is offered again, here or elsewhere."""
    address = replica_addresses(agent).get(session_of(agent).sequencer)
    if address is not None:
        reachable = outcome.status > 0 or outcome.reason == "late"
        agent.links["send"](address, TaskFailed(offer.kind, offer.subject, outcome.retry_ms, reachable, number))
