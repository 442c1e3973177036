"""LEASE and READY: no daemon acts past its lease or on state older than was told as honoured, and none stays away."""

from frostpost.cluster import agent_sessions
from frostpost.cluster import lease_client as leases
from frostpost.virtual_synchrony.leases import lease_remaining_ms

from .judge import in_touch
from .notes import Violation
from .stage import ready

STEP_MS, READY_STEPS, SLACK_MS = 20, 25, 60


class LeaseMonitor:
    """Looks at all daemons every few milliseconds of simulated time."""

    def __init__(self, world):
        self.world, self.broken, self.honoured, self.unready_steps = world, [], 0, {}
        self.stopped = False

    def watch(self):
        if self.stopped:
            return
        self.note_honoured()
        self.broken += [*self.old_agents(), *self.old_leaders(), *self.late_agents()]
        del self.broken[20:]
        self.world.later(STEP_MS, self.watch)

    def agents(self):
        """Edge and control daemons that run."""
        for daemon in self.world.of("edge", "core"):
            if daemon.owner is not None and daemon.host.alive and not daemon.host.frozen:
                yield daemon

    def note_honoured(self):
        """The newest routing that any daemon may have acknowledged to an operator."""
        told = [leases.session_of(d.owner).honoured_version for d in self.agents()]
        self.honoured = max([self.honoured, *told])

    def old_agents(self):
        for daemon in self.agents():
            held = leases.session_of(daemon.owner)
            if leases.holds_lease(daemon.owner) and held.routing_version < self.honoured:
                yield Violation(
                    "LEASE",
                    f"{daemon.name} serves by {held.routing_version} at {round(self.world.now_ms())}, "
                    f"{self.honoured} is honoured",
                )

    def old_leaders(self):
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
                    f"{daemon.name} leads with {version} at {round(self.world.now_ms())}, {self.honoured} is honoured",
                )

    def list_is_up(self):
        """Whether the platform's list was there for the whole contact time; an edge that starts needs it."""
        since_ms = self.world.now_ms() - self.world.notes.sheet["contact"]
        return not any(t.until_ms >= since_ms for t in self.world.notes.list_troubles)

    def late_agents(self):
        """Edges in touch that aren't ready for half a second on end."""
        for daemon in self.world.of("edge"):
            due = self.list_is_up() and in_touch(self.world, daemon.host.address, self.world.now_ms())
            away = due and not ready(self.world, daemon)
            steps = self.unready_steps[daemon.name] = self.unready_steps.get(daemon.name, 0) + 1 if away else 0
            if steps == READY_STEPS:
                yield Violation("READY", f"{daemon.name} is in touch and not ready at {round(self.world.now_ms())}")


def served_past_lease(world, tries):
    """Runs that reached a runner from an edge that no storage machine had heard for longer than a lease."""
    lease_ms = world.notes.sheet["lease"]
    for run in world.notes.runs:
        request = tries.get(run.try_id)
        for alone in world.notes.isolations if request is not None else ():
            if request.edge == alone.edge and alone.from_ms + lease_ms + SLACK_MS < run.came_ms < alone.until_ms:
                yield Violation(
                    "LEASE",
                    f"{run.try_id} reached {run.runner} at {round(run.came_ms)} from {alone.edge}, "
                    f"cut off since {round(alone.from_ms)}",
                )
