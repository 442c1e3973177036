"""The ledger's state."""

from msgspec import Struct, field

from frostpost.program_ledger.state import ProgramLedger
from frostpost.virtual_synchrony.endpoints import Member

from .entities import Claim, Duty, Mark, Program, Reservation, Runner

# Names of fields in snapshots, where they differ: snapshots of earlier builds stay readable.
NAMES_IN_SNAPSHOTS = {"clock_ms": "clockMs", "config_index": "configIndex", "program_ledger": "coppice"}


class Ledger(Struct, rename=NAMES_IN_SNAPSHOTS):
    """Everything that replicas agree on: programs, keys, runners, configurations, duties and voters."""

    index: int = 0
    clock_ms: int = 0
    members: tuple[Member, ...] = ()
    cores: tuple[str, ...] = ()
    voters: tuple[str, ...] = ()
    sessions: dict[str, tuple[int, int]] = {}
    programs: dict[str, Program] = {}
    reservations: dict[int, Reservation] = {}
    keys: dict[str, Claim] = {}
    runners: dict[str, Runner] = {}
    leaving: dict[str, int] = {}
    running: dict[str, int] = {}
    configs: dict[str, Mark] = {}
    config_index: int = 0
    duties: dict[str, Duty] = {}
    expiries: list[tuple[int, str, str]] = []
    fired: dict[str, int] = {}
    rules: int = 1
    past: dict[str, list[Mark]] = {}
    program_ledger: ProgramLedger = field(default_factory=ProgramLedger)
