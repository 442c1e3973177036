from msgspec import Struct, field

from frostpost.program_ledger.state import Coppice
from frostpost.virtual_synchrony.words import Member
from .words import Claim, Duty, Mark, Program, Reservation, Runner


class Granary(Struct):
    index: int = 0
    clockMs: int = 0
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
    configIndex: int = 0
    duties: dict[str, Duty] = {}
    expiries: list[tuple[int, str, str]] = []
    fired: dict[str, int] = {}
    rules: int = 1
    past: dict[str, list[Mark]] = {}
    coppice: Coppice = field(default_factory=Coppice)
