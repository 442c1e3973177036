"""State of the model checker: replicas that run the product's step functions, their disks and messages in flight.

A `World` is immutable once the move that created it has been applied. A move copies the replicas that it changes and
shares the others.
"""

from copy import copy
from functools import cache

from msgspec import Struct, field

from frostpost.daemon.core import Core
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Endpoint

IMMUTABLE_TYPES = {int, str, bytes, bool, float, tuple, frozenset, type(None)}


class Scenario(Struct, frozen=True):
    """The initial state of an exploration and the moves that it allows.

    replicas: number of replicas.
    voters: number of initial voters, counted from the replica with index `first_voter`.
    timed: run the failure detector and leases on a virtual clock; otherwise any proposal may be made at any time.
    founded: start from an opened primary; otherwise from empty disks.
    slow_syncs: replicas acknowledge receipt and sync separately, as with disks that are slow to sync.
    slow_heartbeats: queue heartbeats like other messages; otherwise deliver them immediately.
    budget: maximum number of moves of each kind in one run; kinds that are absent are disabled.
    """

    replicas: int = 3
    voters: int = 3
    first_voter: int = 0
    timed: bool = False
    founded: bool = True
    slow_heartbeats: bool = False
    slow_syncs: bool = False
    budget: dict[str, int] = {}


def replica_names(scenario):
    """Return the names of all replicas."""
    return tuple(f"s{n + 1}" for n in range(scenario.replicas))


def bootstrap_voters(scenario):
    """Return the names of the initial voters."""
    return replica_names(scenario)[scenario.first_voter : scenario.first_voter + scenario.voters]


class Disk(Struct, frozen=True):
    """A replica's log on disk.

    synced: records that survive a power loss. pending: records written later, of which the first `syncing_count` are
    being synced. synced_count: number of records synced since the process started.
    """

    synced: tuple = ()
    pending: tuple = ()
    syncing_count: int = 0
    synced_count: int = 0
    boot_count: int = 0


class Replica(Struct):
    """A replica. core: None while it is down. digest: cached hash of its state, empty once the state has changed."""

    name: str
    disk: Disk = Disk()
    core: Core | None = None
    frozen: bool = False
    digest: bytes = b""

    @property
    def synchrony(self):
        """The protocol state; defined only while the replica is up."""
        return self.core.synchrony


class Message(Struct):
    """A message in flight."""

    sender: Endpoint
    target: str
    body: object
    digest: bytes

    @property
    def label(self):
        """The sender, target and type by which moves select this message."""
        return self.sender.member.name, self.target, type(self.body).__name__


class SyncCompletion(Struct):
    """The pending completion of a disk sync."""

    target: str
    incarnation: int
    digest: bytes

    @property
    def label(self):
        """The label by which moves select this completion, in the form used for messages."""
        return "disk", self.target, "Sync"


class OpenedPrimary(Struct, frozen=True):
    """The configuration of an opened primary, and the time at which its sequencer installed it."""

    id: ConfigurationId
    installed_ms: int


class History(Struct, frozen=True):
    """Past events that the invariants refer to.

    committed: entries in the order in which they were first applied by any replica. wiped_replicas: replicas that have
    lost a disk. requested_voters: sets of voters that were requested.
    """

    committed: tuple[Entry, ...] = ()
    opened_primaries: tuple[OpenedPrimary, ...] = ()
    wiped_replicas: frozenset[str] = frozenset()
    requested_voters: tuple[tuple[str, ...], ...] = ()


class World(Struct):
    """The global state.

    queue: messages and sync completions in the default order of delivery. delayed: items that are queued again once
    the queue is empty. blocked_links: (sender, target) pairs whose messages are lost. used_budget: past moves by kind.
    copied_replicas: replicas that this world does not share with its predecessor. pending_heartbeats: heartbeats to be
    delivered within the same move.
    """

    scenario: Scenario
    replicas: dict[str, Replica]
    queue: tuple = ()
    delayed: tuple = ()
    blocked_links: frozenset[tuple[str, str]] = frozenset()
    now_ms: int = 0
    history: History = History()
    used_budget: dict[str, int] = {}
    violations: list = []
    copied_replicas: set[str] = set()
    pending_heartbeats: list = field(default_factory=list)


def copy_world(world):
    """Return a world for the next move. It shares its replicas until `mutable_replica` copies them."""
    return World(
        world.scenario,
        dict(world.replicas),
        world.queue,
        world.delayed,
        world.blocked_links,
        world.now_ms,
        world.history,
        dict(world.used_budget),
    )


def mutable_replica(world, name):
    """Return a replica that the current move may change, copied on first use."""
    replica = world.replicas[name]
    if name not in world.copied_replicas:
        world.copied_replicas.add(name)
        core = copy(replica.core)
        if core is not None:
            core.synchrony, core.snapshots = clone(core.synchrony), clone(core.snapshots)
        replica = Replica(name, replica.disk, core, replica.frozen)
        world.replicas[name] = replica
    return replica


@cache
def mutable_fields(kind):
    """Return the fields of a struct type that steps modify in place; None for frozen types."""
    return None if kind.__struct_config__.frozen else kind.__struct_fields__


def clone(value):
    """Return a deep copy of everything that steps modify in place; frozen structs are shared."""
    kind = type(value)
    if kind in IMMUTABLE_TYPES:
        return value
    if kind is dict:
        return {k: v if type(v) in IMMUTABLE_TYPES else clone(v) for k, v in value.items()}
    if kind in (list, set, bytearray):
        return kind(value)
    fields = mutable_fields(kind)
    if fields is None:
        return value
    return kind(*[v if type(v := getattr(value, name)) in IMMUTABLE_TYPES else clone(v) for name in fields])
