"""A simulated daemon: its core, its disk and its process state."""

from msgspec import Struct, field

from frostpost.daemon import core as cores
from frostpost.virtual_synchrony.endpoints import Endpoint


class Disk(Struct):
    """The records of a node's log, by whether they are synced."""

    synced_records: list = []
    unsynced_records: list = []
    syncing_count: int = 0
    delay_ms: int = 3
    boots: int = 0
    written_count: int = 0
    sync_count: int = 0


class Node(Struct):
    """A simulated daemon; `generation` increases at each start and kill, so that old events can be discarded."""

    name: str
    role: str
    zone: str
    endpoint: Endpoint | None = None
    core: cores.Core | None = None
    disk: Disk = field(default_factory=Disk)
    generation: int = 0
    frozen: bool = False
    queue: list = []
    skew_ms: int = 0
