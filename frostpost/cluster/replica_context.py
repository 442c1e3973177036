"""What a replica (a storage daemon) holds beside its context, and the product's settings made for it."""

from msgspec import Struct

from frostpost.daemon.settings import JobIntervals as Pace
from frostpost.daemon.settings import Settings
from frostpost.virtual_synchrony.bounds import Bounds

from . import agent_sessions, voter_reconfiguration

LOG_ENTRIES = 20000
WINDOW = 2048
ROLE = "storage"


class ReplicaContext:
    """What a storage daemon holds beside its context."""

    __slots__ = (
        "background",
        "bootstrap_voters",
        "ctx",
        "announced_configuration",
        "agent_addresses",
        "leaving",
        "machine",
        "peers",
        "reactor",
        "records",
        "seeking",
        "send",
        "sessions",
        "settings",
        "stop",
        "tasks",
        "turn_store",
        "waiting",
    )

    def __init__(self, ctx, settings, stop):
        self.ctx, self.settings, self.stop = ctx, settings, stop
        self.sessions, self.background = agent_sessions.AgentSessions(), voter_reconfiguration.VoterChanges()
        self.reactor, self.machine, self.tasks = ctx.reactor, ctx.machine, []
        self.turn_store, self.send, self.records, self.waiting, self.bootstrap_voters = None, None, [], True, ()
        self.leaving = False
        self.seeking = None


class Crash(Struct):
    """Stands where a daemon's life is asked to end at once."""

    stop: object

    def crash(self):
        """End with status 70."""
        self.stop(70)


def ring_settings(settings):
    """The product's settings of a replica."""
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
        background=Pace(tick_ms=settings.tick_ms),
    )
