"""Settings of a daemon and the front that it is given; both independent of the platform's wire names."""

from collections.abc import Callable

from msgspec import Struct

from frostpost.proxy.models import Wire

from .voter_policy import Tolerance

Address = tuple[str, int]


# The ledger's clock advances by at most this many intervals at once.
MAX_TICKS_AT_ONCE = 3
# Share of the separation between two daemons' calls in which a call may be on its way.
TRANSIT_RATIO = 0.1


class DaemonSettings(Struct, frozen=True):
    """role: edge, core or storage. seeds: inner addresses (host:port) of the daemons contacted first.

    platform_tasks: kinds of tasks that the platform wants ("usage", "scaling"). tasks_per_s: how many such calls the
    platform accepts from all daemons. task_separation_ms: time after a daemon's call before another daemon may call for
    the same subject. report_window_ms: length of a usage window, due usage_delay_ms after its end.
    """

    name: str
    role: str
    zone: str
    host: str
    port: int
    front: Address | None = None
    readiness: Address | None = None
    control: Address | None = None
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    data: str = ""
    tolerated: int = 1
    tolerated_zones: int = 0
    tolerated_regions: int = 0
    regions: dict[str, str] = {}
    memory_mb: int = 256
    max_fds: int = 4096
    disk_mb: int = 0
    list_host: str = ""
    list_port: int = 0
    list_rate_per_s: float = 44.0
    list_ms: int = 1200
    key_window_ms: int = 60000
    drain_ms: int = 3000
    grace_ms: int = 8000
    apply_ms: int = 2000
    ack_ms: int = 4000
    catch_up_ms: int = 4800
    recovery_ms: int = 12000
    contact_ms: int = 3000
    loss_slack_ms: int = 200
    transit_ms: int = 120
    connection_share: float = 0.12
    idle_ms: int = 10000
    lease_ms: int = 1200
    detect_ms: int = 500
    tick_ms: int = 500
    cache_bytes: int = 24 << 20
    trace: bool = False
    platform_tasks: tuple[str, ...] = ()
    tasks_per_s: float = 1.0
    task_separation_ms: int = 3000
    report_window_ms: int = 5000
    usage_delay_ms: int = 10000

    @property
    def tolerance(self):
        """The losses that the system must tolerate at once."""
        return Tolerance(self.tolerated, self.tolerated_zones, self.tolerated_regions)

    @property
    def min_replicas(self):
        """The number of replicas, each in its own zone and region, that keep a majority after any tolerated loss."""
        return 2 * max(self.tolerated, self.tolerated_zones, self.tolerated_regions) + 1

    @property
    def task_call_ms(self):
        """How long a daemon may call for a task, counted from before it claimed the lease."""
        return self.task_separation_ms // 2

    @property
    def task_lease_ms(self):
        """Length of the lease of a task on the ledger's clock.

        That clock may show up to `clock_error_ms` more than has passed since a grant: the time before it that the next
        advance covers. See "Platform tasks" in docs/design.md for why these lengths keep the separation.
        """
        clock_error_ms = self.lease_ms + MAX_TICKS_AT_ONCE * self.tick_ms
        transit_ms = int(self.task_separation_ms * TRANSIT_RATIO)
        return max(self.task_separation_ms, self.task_call_ms + transit_ms + clock_error_ms)


class Front(Struct, frozen=True):
    """Callables and wire names of the platform's front.

    listen(agent) returns Deferred[list of ports]; fetch_list(agent) returns Deferred[list[Runner]];
    routing_from_body(bytes) returns Routing; reread() returns Result[DaemonSettings, SettingsInvalid].
    call_task(agent, task, fence, timeout_ms, may_send) makes the call of a platform task and returns
    Deferred[TaskOutcome]; may_send() is asked immediately before the call is written.
    """

    listen: Callable
    wire: Wire
    fetch_list: Callable
    routing_from_body: Callable
    reread: Callable
    call_task: Callable | None = None
