"""Messages between agents and the leader about platform tasks and about the usage of the system.

A platform task is a call at the platform that one daemon at a time may make. As in `messages`, tags and the order of
fields must not change.
"""

from msgspec import Struct


class TaskOffer(Struct, frozen=True, array_like=True):
    """A task that is due, offered to one agent. kind: "usage" or "scaling". subject: what the task's lease is for."""

    kind: str
    subject: str


class TenantRequests(Struct, frozen=True, array_like=True):
    """How many requests of a tenant began to run."""

    tenant: str
    requests: int


class WindowUsage(Struct, frozen=True, array_like=True):
    """Requests that began to run in a usage window, by tenant, as counted so far by one process of an agent."""

    window: int
    counts: tuple[TenantRequests, ...]


class ZoneCapacity(Struct, frozen=True, array_like=True):
    """A service's runners in a zone, as an agent's list shows them: those not draining, their slots, and the others."""

    zone: str
    runners: int
    slots: int
    draining: int = 0


class ServiceDemand(Struct, frozen=True, array_like=True):
    """Demand on a service at one agent, counted from the start of its process, so that a lost report does no harm.

    busy_ms: time integral of the requests in flight at runners and of those that waited for a slot. measured_ms: when
    it was measured, on the agent's clock. list_age_ms: age of the list that `zones` are from; -1 if none was read.
    """

    service: str
    busy_ms: int
    measured_ms: int
    zones: tuple[ZoneCapacity, ...] = ()
    list_age_ms: int = -1


class UsageReport(Struct, frozen=True, array_like=True, tag=42):
    """An agent's usage. number: counts the reports of the process. windows: those changed since the last reply."""

    number: int
    windows: tuple[WindowUsage, ...]
    demand: tuple[ServiceDemand, ...] = ()


class UsageReply(Struct, frozen=True, array_like=True, tag=43):
    """The leader has received the report with this number. closed: as in LeaseReply."""

    number: int
    closed: int


class TaskFailed(Struct, frozen=True, array_like=True, tag=44):
    """An agent's call for a task failed. retry_ms: the earliest time for another one, counted from now.

    reachable: whether the platform answered, so that another agent would fare no better. number: identifies the task
    within its subject.
    """

    kind: str
    subject: str
    retry_ms: int
    reachable: bool
    number: int
