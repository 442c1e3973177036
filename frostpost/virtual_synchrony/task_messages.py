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
    """The runners of a service in a zone that are not draining, as an agent's list shows them, and their slots."""

    zone: str
    runners: int
    slots: int


class ServiceDemand(Struct, frozen=True, array_like=True):
    """Demand on a service at one agent since its last report.

    busy_ms: time integral of the requests in flight at runners and of those that waited for a slot. elapsed_ms: the
    time that it covers.
    """

    service: str
    busy_ms: int
    elapsed_ms: int
    zones: tuple[ZoneCapacity, ...] = ()


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

    reachable: whether the platform answered, so that another agent would fare no better.
    """

    kind: str
    subject: str
    retry_ms: int
    reachable: bool
