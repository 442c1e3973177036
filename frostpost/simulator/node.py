"""One daemon of the core simulation: its core, its disk, and whether it runs."""

from msgspec import Struct, field

from frostpost.daemon import core as cores
from frostpost.virtual_synchrony.endpoints import Endpoint


class Disk(Struct):
    """A node's log: lasting records are synced, written ones are not yet."""

    lasting: list = []
    written: list = []
    syncing: int = 0
    delay_ms: int = 3
    boots: int = 0
    wrote: int = 0
    syncs: int = 0


class Node(Struct):
    """One daemon's core with its disk."""

    name: str
    role: str
    zone: str
    endpoint: Endpoint | None = None
    core: cores.Core | None = None
    disk: Disk = field(default_factory=Disk)
    life: int = 0
    frozen: bool = False
    queue: list = []
    skew_ms: int = 0
