"""Operations on platform tasks and their results.

As in `messages`, tags and the order of fields are part of the format.
A platform task is a call at the platform that one daemon at a time may make. Its kind is USAGE or SCALING. All usage
windows are one subject; a service and a zone are another one each.
"""

from msgspec import Struct

from frostpost.virtual_synchrony.task_messages import TenantRequests

USAGE, SCALING = "usage", "scaling"
USAGE_SUBJECT = ""


class UsageTask(Struct, array_like=True, frozen=True, tag="usageTask"):
    """Report the usage of a closed window; `counts` are sorted by tenant and never change."""

    window: int
    counts: tuple[TenantRequests, ...]

    @property
    def number(self):
        """What identifies the task within its subject."""
        return self.window


class ScalingTask(Struct, array_like=True, frozen=True, tag="scalingTask"):
    """Order the number of runners of a service in a zone; `number` identifies the order within its subject."""

    service: str
    zone: str
    desired: int
    number: int


PlatformTask = UsageTask | ScalingTask


class ClaimTask(Struct, array_like=True, frozen=True, tag="claimTask"):
    """Claim the lease of a subject for `lease_ms` and the oldest task that is due; `owner` is the daemon's name."""

    kind: str
    subject: str
    owner: str
    lease_ms: int


class CompleteTask(Struct, array_like=True, frozen=True, tag="completeTask"):
    """Record that the platform has accepted a task; without effect if the fencing token is not the current one."""

    kind: str
    subject: str
    owner: str
    fence: int
    number: int


class CloseUsageWindow(Struct, array_like=True, frozen=True, tag="closeWindow"):
    """Close a usage window with these counts; the first one decides."""

    window: int
    counts: tuple[TenantRequests, ...]


class SetCapacity(Struct, array_like=True, frozen=True, tag="setCapacity"):
    """Want `desired` runners of a service in a zone; a negative number removes the subject."""

    service: str
    zone: str
    desired: int


class TaskGranted(Struct, array_like=True, frozen=True, tag="taskGranted"):
    """The daemon owns the lease under this fencing token; `task` is due."""

    fence: int
    task: PlatformTask


class TaskLeased(Struct, array_like=True, frozen=True, tag="TaskLeased"):
    """Another daemon owns the lease for `remaining_ms` of the ledger's clock."""

    remaining_ms: int


class NothingDue(Struct, array_like=True, frozen=True, tag="NothingDue"):
    """The subject has no task."""


class TaskCompleted(Struct, array_like=True, frozen=True, tag="taskCompleted"):
    """The task is complete, or the operation had no effect."""


class UsageWindowClosed(Struct, array_like=True, frozen=True, tag="windowClosed"):
    """The window is closed with these counts; they are empty once it has been reported."""

    window: int
    counts: tuple[TenantRequests, ...]


class CapacitySet(Struct, array_like=True, frozen=True, tag="capacitySet"):
    """The wanted number of runners is recorded as the order with this number."""

    number: int


TaskOperation = ClaimTask | CompleteTask | CloseUsageWindow | SetCapacity
TaskResult = TaskGranted | TaskLeased | NothingDue | TaskCompleted | UsageWindowClosed | CapacitySet
