"""State of the ledger."""

from msgspec import Struct, field

from frostpost.program_ledger.state import ProgramLedger
from frostpost.virtual_synchrony.endpoints import Member

from .entities import Claim, ConfigVersion, Program, Reservation, Runner, SingletonRole

# Field names in snapshots that differ from those here, so that snapshots of earlier builds remain readable.
SNAPSHOT_FIELD_NAMES = {"clock_ms": "clockMs", "config_index": "configIndex", "program_ledger": "coppice"}


class Ledger(Struct, rename=SNAPSHOT_FIELD_NAMES):
    """Replicated state: programs, keys, runners, configuration versions, singleton roles and voters.

    `sessions` holds the incarnation and the last entry number of each sender, `leaving` the index at which each
    draining runner instance was marked, `running` the number of open turns by runner, `duties` the singleton roles,
    `fired` the last second at which each calendar fired.
    """

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
