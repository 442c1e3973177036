"""The ledger's state."""

from msgspec import Struct, field

from frostpost.program_ledger.state import ProgramLedger
from frostpost.virtual_synchrony.endpoints import Member

from .entities import Claim, ConfigVersion, Program, Reservation, Runner, SingletonRole

# Names of fields in snapshots, where they differ: snapshots of earlier builds stay readable.
SNAPSHOT_FIELD_NAMES = {"clock_ms": "clockMs", "config_index": "configIndex", "program_ledger": "coppice"}


class Ledger(Struct, rename=SNAPSHOT_FIELD_NAMES):
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
    configs: dict[str, ConfigVersion] = {}
    config_index: int = 0
    duties: dict[str, SingletonRole] = {}
    expiries: list[tuple[int, str, str]] = []
    fired: dict[str, int] = {}
    rules: int = 1
    past: dict[str, list[ConfigVersion]] = {}
    program_ledger: ProgramLedger = field(default_factory=ProgramLedger)
