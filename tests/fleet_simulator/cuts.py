"""Cuts between machines, and calls of operators at a daemon that is cut off."""

from . import world as worlds
from .notes import Version
from .routes import first_document, paths_of
from .stage import operator_of

WAYS = ("both", "out", "in")
RETIRED = "storage-z0-1"
FIRST_ISSUE = 1000


def pairs_of(world, daemons, way="both"):
    """The links between some daemons and all others, as `Net.cuts` names them; out: only what the daemons send."""
    inside = {daemon.host.address for daemon in daemons}
    outside = {daemon.host.address for daemon in world.daemons.values()} - inside
    out = {(here, there) for here in inside for there in outside}
    back = {(there, here) for here, there in out}
    return {"both": out | back, "out": out, "in": back}[way]


def cut(world, daemons, for_ms, way="both"):
    """Cut daemons off from all others for a while; -> the cut links."""
    pairs = pairs_of(world, daemons, way)
    world.net.cuts |= pairs
    world.later(for_ms, world.net.cuts.difference_update, pairs)
    return pairs


def leader(world):
    """The storage daemon that sequences, or None."""
    from frostpost.cluster.agent_sessions import is_sequencer

    found = [d for d in world.of("storage") if d.host.alive and d.owner is not None and d.owner.ctx.core is not None]
    return next((daemon for daemon in found if is_sequencer(daemon.owner.ctx)), None)


def replacement(world, issue, base):
    """A change that replaces the first configuration by a like one of another number."""
    document = dict(first_document(), issue=issue)
    return Version(issue, base, paths_of(document), document, world.now_ms())


class Caller:
    """Calls one daemon in every way there is, again and again."""

    def __init__(self, world, daemon, tag="cut"):
        self.world, self.daemon, self.tag = world, daemon, tag
        self.operator, self.control = operator_of(world, tag), (daemon.host.address, worlds.CONTROL)

    def call(self, method, path, document=None, version=None):
        """One call; -> Deferred of its Try."""
        if version is not None:
            self.world.notes.add_version(version)
        return self.operator.call(self.control, method, path, document, version)

    def change(self, base, kind="Replace"):
        """A valid change on top of a version."""
        issue = FIRST_ISSUE + len(self.world.notes.versions)
        version = replacement(self.world, issue, base)
        change = version.document if kind == "Replace" else {"issue": issue}

        def answered(request):
            if request.status == 200:
                version.acked_ms = self.world.now_ms()
            return request

        return self.call("POST", f"Configuration.{kind}", change, version).addCallback(answered)

    def all_calls(self, base):
        """Every kind of call at once."""
        self.call("GET", "Configuration.Query")
        self.change(base, "Replace")
        self.change(base, "Modify")
        self.call("GET", f"Retire.Query/{RETIRED}")
        self.call("POST", "Retire.Initiate/nobody", {"deadline-s": 10})
        self.call("GET", "Retire.Query/nobody")

    def call_on(self, base, until_ms, every_ms=250):
        """All kinds of calls, again and again until a moment."""
        if self.world.now_ms() < until_ms:
            self.all_calls(base)
            self.world.later(every_ms, self.call_on, base, until_ms, every_ms)

    def calls(self, from_ms, until_ms):
        """The calls at this daemon that were sent between two moments."""
        here = self.daemon.host.address
        return [c for c in self.world.notes.control_calls if c.daemon == here and from_ms <= c.sent_ms < until_ms]
