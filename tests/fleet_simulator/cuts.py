"""Network partitions around daemons, and operator calls to a partitioned daemon."""

from . import world as worlds
from .notes import Version
from .routes import first_document, paths_of
from .stage import operator_of

DIRECTIONS = ("both", "out", "in")
RETIRED = "storage-z0-1"
FIRST_ISSUE = 1000


def pairs_of(world, daemons, direction="both"):
    """Return the (source, target) links between some daemons and all others; "out" has only outgoing links."""
    inside = {daemon.host.address for daemon in daemons}
    outside = {daemon.host.address for daemon in world.daemons.values()} - inside
    outward = {(source, target) for source in inside for target in outside}
    inward = {(target, source) for source, target in outward}
    return {"both": outward | inward, "out": outward, "in": inward}[direction]


def cut(world, daemons, for_ms, direction="both"):
    """Partition daemons from all others for a while. Returns the blocked links."""
    pairs = pairs_of(world, daemons, direction)
    world.net.cuts |= pairs
    world.later(for_ms, world.net.cuts.difference_update, pairs)
    return pairs


def leader(world):
    """Return the storage daemon that is the sequencer, or None."""
    from frostpost.cluster.agent_sessions import is_sequencer

    replicas = [d for d in world.of("storage") if d.host.alive and d.owner is not None and d.owner.ctx.core is not None]
    return next((daemon for daemon in replicas if is_sequencer(daemon.owner.ctx)), None)


def replacement(world, issue, base):
    """Return a version that replaces the first configuration by an equal one with another issue number."""
    document = dict(first_document(), issue=issue)
    return Version(issue, base, paths_of(document), document, world.now_ms())


class Caller:
    """Operator that repeatedly sends every kind of control call to one daemon."""

    def __init__(self, world, daemon, tag="cut"):
        self.world, self.daemon, self.tag = world, daemon, tag
        self.operator, self.control = operator_of(world, tag), (daemon.host.address, worlds.CONTROL)

    def call(self, method, path, document=None, version=None):
        """Send one call. Returns a Deferred of its Try."""
        if version is not None:
            self.world.notes.add_version(version)
        return self.operator.call(self.control, method, path, document, version)

    def change(self, base, kind="Replace"):
        """Send a valid change on top of a version."""
        issue = FIRST_ISSUE + len(self.world.notes.versions)
        version = replacement(self.world, issue, base)
        change = version.document if kind == "Replace" else {"issue": issue}

        def answered(request):
            if request.status == 200:
                version.acked_ms = self.world.now_ms()
            return request

        return self.call("POST", f"Configuration.{kind}", change, version).addCallback(answered)

    def all_calls(self, base):
        """Send every kind of call at once."""
        self.call("GET", "Configuration.Query")
        self.change(base, "Replace")
        self.change(base, "Modify")
        self.call("GET", f"Retire.Query/{RETIRED}")
        self.call("POST", "Retire.Initiate/nobody", {"deadline-s": 10})
        self.call("GET", "Retire.Query/nobody")

    def call_on(self, base, until_ms, every_ms=250):
        """Send all kinds of calls every `every_ms` until `until_ms`."""
        if self.world.now_ms() < until_ms:
            self.all_calls(base)
            self.world.later(every_ms, self.call_on, base, until_ms, every_ms)

    def calls(self, from_ms, until_ms):
        """Return the calls to this daemon that were sent from `from_ms` until before `until_ms`."""
        address = self.daemon.host.address
        return [
            call
            for call in self.world.notes.control_calls
            if call.daemon == address and from_ms <= call.sent_ms < until_ms
        ]
