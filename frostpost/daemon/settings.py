"""Settings of a daemon of the own HTTP interface."""

import tomllib

from expression import Error, Ok
from msgspec import Struct, ValidationError, convert, field, structs

from frostpost.placement.ranking import Weights
from frostpost.virtual_synchrony.bounds import Bounds


class SettingsInvalid(Struct, frozen=True, tag="SettingsInvalid"):
    """A setting that is wrong: which and why."""

    path: str
    text: str


class VoterChanges(Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals of the periodic jobs, in milliseconds."""

    load_ms: int = 500
    list_ms: int = 1000
    tick_ms: int = 1000
    calendar_ms: int = 1000


class Doors(Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the HTTP interface: milliseconds, bytes and counts."""

    in_flight: int = 400
    lag_ms: int = 60
    ask_ms: int = 1500
    connect_ms: int = 500
    stall_ms: int = 5000
    body_bytes: int = 1 << 20
    result_bytes: int = 1 << 20
    line_bytes: int = 1 << 16
    linger_ms: int = 500
    config_bytes: int = 64 << 20
    ack_ms: int = 8000
    grace_ms: int = 30000
    retry_ratio: float = 0.2


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a daemon."""

    name: str
    role: str
    zone: str
    host: str
    port: int
    http_port: int
    seeds: list[str]
    voters: list[str]
    data: str = ""
    list: str = ""
    hooks: str = ""
    bounds: Bounds = field(default_factory=Bounds)
    background: VoterChanges = field(default_factory=VoterChanges)
    doors: Doors = field(default_factory=Doors)
    weights: Weights = field(default_factory=Weights)


def address(text):
    """Tell whether a text is `IP:port`."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and all(p.isdigit() and int(p) < 256 for p in parts)
    return numeric and port.isdigit() and 0 < int(port) < 65536


def errors_of(settings):
    """Yield the errors in settings that have the right types."""
    if settings.role not in ("edge", "core", "storage"):
        yield SettingsInvalid("role", "must be edge, core or storage")
    if settings.role == "storage" and not settings.data:
        yield SettingsInvalid("data", "a storage daemon needs a data folder")
    if not address(f"{settings.host}:{settings.port or 1}"):
        yield SettingsInvalid("host", f"{settings.host} is no IP number")
    for n, seed in enumerate(settings.seeds):
        if not address(seed):
            yield SettingsInvalid(f"seeds[{n}]", f"{seed} is no IP number and port")
    if not settings.seeds:
        yield SettingsInvalid("seeds", "at least one seed is needed")
    if not settings.voters:
        yield SettingsInvalid("voters", "at least one voter is needed")
    bounds = settings.bounds
    if bounds.lease_ms + bounds.detect_ms >= 2000:
        yield SettingsInvalid("bounds.lease_ms", "lease_ms and detect_ms together must be under 2000")
    for name in structs.asdict(bounds):
        if getattr(bounds, name) <= 0:
            yield SettingsInvalid(f"bounds.{name}", "must be above 0")


def read(path, flags):
    """Read a TOML file and overriding values; Ok(Settings) or Error(SettingsInvalid)."""
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        return Error(SettingsInvalid(path, error.strerror or "cannot be read"))
    except tomllib.TOMLDecodeError as error:
        return Error(SettingsInvalid(path, str(error)))
    document.update({k: v for k, v in flags.items() if v is not None})
    unknown = set(document.get("bounds", {})) - set(Bounds.__struct_fields__)
    unknown |= set(document.get("weights", {})) - set(Weights.__struct_fields__)
    if unknown:
        return Error(SettingsInvalid(sorted(unknown)[0], "is no known setting"))
    try:
        settings = convert(document, Settings)
    except ValidationError as error:
        text, _, where = str(error).partition(" - at ")
        return Error(SettingsInvalid(where.strip("`") or path, text))
    error = next(errors_of(settings), None)
    return Error(error) if error else Ok(settings)
