"""What agents report to the leader about the demand on the services whose number of runners is ordered.

As in `messages`, the order of fields must not change.
"""

from msgspec import Struct


class ZoneCapacity(Struct, frozen=True, array_like=True):
    """A service's runners in a zone, as an agent's list shows them: those that are not draining, their slots, others."""

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
    list_age_ms: int = -1
    zones: tuple[ZoneCapacity, ...] = ()
