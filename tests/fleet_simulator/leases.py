"""LEASE and READY: no daemon acts past its lease or on state older than acknowledged, and edges become ready."""

from frostpost.cluster import agent_sessions
from frostpost.cluster import lease_client as leases
from frostpost.virtual_synchrony.leases import lease_remaining_ms

from .judge import in_contact
from .notes import Violation
from .stage import ready

STEP_MS, READY_STEPS, MARGIN_MS = 20, 25, 60


class LeaseMonitor:
    """Checks all daemons every `STEP_MS` of simulated time."""

    def __init__(self, world):
        self.world, self.broken, self.honoured, self.unready_steps = world, [], 0, {}
        self.stopped = False

    def watch(self):
        if self.stopped:
            return
        self.update_honoured()
        self.broken += [*self.stale_agents(), *self.stale_leaders(), *self.unready_edges()]
        del self.broken[20:]
        self.world.later(STEP_MS, self.watch)

    def agents(self):
        """Yields the running edge and control daemons."""
        for daemon in self.world.of("edge", "core"):
            if daemon.owner is not None and daemon.host.alive and not daemon.host.frozen:
                yield daemon

    def update_honoured(self):
        """Update the newest routing version that any daemon may have acknowledged to an operator."""
        honoured_versions = [leases.session_of(daemon.owner).honoured_version for daemon in self.agents()]
        self.honoured = max([self.honoured, *honoured_versions])

    def stale_agents(self):
        for daemon in self.agents():
            session = leases.session_of(daemon.owner)
            if leases.holds_lease(daemon.owner) and session.routing_version < self.honoured:
                yield Violation(
                    "LEASE",
                    f"{daemon.name} serves routing version {session.routing_version} at {round(self.world.now_ms())}, "
                    f"{self.honoured} may have been acknowledged",
                )

    def stale_leaders(self):
        for daemon in self.world.of("storage"):
            if daemon.owner is None or daemon.owner.ctx.core is None or not daemon.host.alive or daemon.host.frozen:
                continue
            ctx = daemon.owner.ctx
            version = ctx.core.ledger.program_ledger.routing_version
            if (
                agent_sessions.is_sequencer(ctx)
                and lease_remaining_ms(ctx.core.synchrony, int(self.world.now_ms()))
                and version < self.honoured
            ):
                yield Violation(
                    "LEASE",
                    f"{daemon.name} leads with routing version {version} at {round(self.world.now_ms())}, "
                    f"{self.honoured} may have been acknowledged",
                )

    def list_available(self):
        """Whether the runner list was available for the whole contact time; a starting edge requires it."""
        since_ms = self.world.now_ms() - self.world.notes.sheet["contact"]
        return not any(fault.until_ms >= since_ms for fault in self.world.notes.list_troubles)

    def unready_edges(self):
        """Yields violations for edges in contact that are not ready for `READY_STEPS` consecutive steps."""
        for daemon in self.world.of("edge"):
            must_be_ready = self.list_available() and in_contact(self.world, daemon.host.address, self.world.now_ms())
            unready = must_be_ready and not ready(self.world, daemon)
            steps = self.unready_steps[daemon.name] = self.unready_steps.get(daemon.name, 0) + 1 if unready else 0
            if steps == READY_STEPS:
                yield Violation("READY", f"{daemon.name} is in contact and not ready at {round(self.world.now_ms())}")


def forwarded_past_lease(world, tries):
    """Yields violations for requests forwarded by an edge that was isolated for longer than a lease."""
    lease_ms = world.notes.sheet["lease"]
    for run in world.notes.runs:
        request = tries.get(run.try_id)
        for isolation in world.notes.isolations if request is not None else ():
            if (
                request.edge == isolation.edge
                and isolation.from_ms + lease_ms + MARGIN_MS < run.came_ms < isolation.until_ms
            ):
                yield Violation(
                    "LEASE",
                    f"{run.try_id} reached {run.runner} at {round(run.came_ms)} from {isolation.edge}, "
                    f"isolated since {round(isolation.from_ms)}",
                )
