"""Context of a replica (a storage daemon) and its conversion of the daemon settings."""

from msgspec import Struct

from frostpost.daemon.settings import JobIntervals, Settings
from frostpost.virtual_synchrony.bounds import Bounds

from . import agent_sessions, voter_reconfiguration

LOG_ENTRIES = 20000
WINDOW = 2048
ROLE = "storage"


class ReplicaContext:
    """State of a storage daemon besides the `Context` of its core.

    first_seeds: the seeds of the first start of the whole system; empty if the disk isn't the one of that start.
    """

    __slots__ = (
        "voter_changes",
        "bootstrap_voters",
        "ctx",
        "announced_configuration",
        "agent_addresses",
        "draining",
        "machine",
        "peers",
        "reactor",
        "log",
        "bootstrap_poll",
        "send",
        "sessions",
        "settings",
        "stop",
        "tasks",
        "turn_store",
        "awaiting_bootstrap",
        "first_seeds",
    )

    def __init__(self, ctx, settings, stop):
        self.ctx, self.settings, self.stop = ctx, settings, stop
        self.sessions, self.voter_changes = (
            agent_sessions.AgentSessions(settings=settings),
            voter_reconfiguration.VoterChanges(),
        )
        self.reactor, self.machine, self.tasks = ctx.reactor, ctx.machine, []
        self.turn_store, self.send, self.log = None, None, None
        self.awaiting_bootstrap, self.bootstrap_voters, self.first_seeds = True, (), ()
        self.draining = False
        self.bootstrap_poll = None


class ProcessExit(Struct):
    """Ends the process when the daemon's core can't continue."""

    stop: object

    def crash(self):
        """End the process with status 70."""
        self.stop(70)


def replica_settings(settings):
    """Convert the daemon settings to those of the replica's core."""
    bounds = Bounds(
        detect_ms=settings.detect_ms,
        proposal_ms=settings.detect_ms,
        lease_ms=settings.lease_ms,
        window=WINDOW,
        rewrite_entries=LOG_ENTRIES,
    )
    return Settings(
        settings.name,
        ROLE,
        settings.zone,
        settings.host,
        settings.port,
        0,
        list(settings.seeds),
        [],
        settings.data,
        bounds=bounds,
        background=JobIntervals(tick_ms=settings.tick_ms),
    )
