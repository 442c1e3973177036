"""Settings of a daemon, read from a TOML file."""

import tomllib

from expression import Error, Ok
from msgspec import Struct, ValidationError, convert, field, structs

from frostpost.placement.ranking import Weights
from frostpost.virtual_synchrony.bounds import Bounds


class SettingsInvalid(Struct, frozen=True, tag="SettingsInvalid"):
    """An invalid setting: its path and the reason."""

    path: str
    text: str


class JobIntervals(Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals of the periodic background jobs, in milliseconds."""

    load_ms: int = 500
    list_ms: int = 1000
    tick_ms: int = 1000
    calendar_ms: int = 1000


class HttpBounds(Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the HTTP interface: times in milliseconds, sizes in bytes, and counts."""

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
    background: JobIntervals = field(default_factory=JobIntervals)
    doors: HttpBounds = field(default_factory=HttpBounds)
    weights: Weights = field(default_factory=Weights)


def is_address(text):
    """Return whether a text has the form `IPv4:port`."""
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    is_ipv4 = len(octets) == 4 and all(o.isdigit() and int(o) < 256 for o in octets)
    return is_ipv4 and port.isdigit() and 0 < int(port) < 65536


def find_errors(settings):
    """Yield the errors in settings whose types are valid."""
    if settings.role not in ("edge", "core", "storage"):
        yield SettingsInvalid("role", "must be edge, core or storage")
    if settings.role == "storage" and not settings.data:
        yield SettingsInvalid("data", "a storage daemon requires a data directory")
    if not is_address(f"{settings.host}:{settings.port or 1}"):
        yield SettingsInvalid("host", f"{settings.host} is not an IPv4 address")
    for index, seed in enumerate(settings.seeds):
        if not is_address(seed):
            yield SettingsInvalid(f"seeds[{index}]", f"{seed} is not an IPv4 address and port")
    if not settings.seeds:
        yield SettingsInvalid("seeds", "at least one seed is required")
    if not settings.voters:
        yield SettingsInvalid("voters", "at least one voter is required")
    bounds = settings.bounds
    if bounds.lease_ms + bounds.detect_ms >= 2000:
        yield SettingsInvalid("bounds.lease_ms", "the sum of lease_ms and detect_ms must be less than 2000")
    for name in structs.asdict(bounds):
        if getattr(bounds, name) <= 0:
            yield SettingsInvalid(f"bounds.{name}", "must be greater than 0")


def read_settings(path, overrides):
    """Read settings from a TOML file; return Ok(Settings) or Error(SettingsInvalid).

    Values of `overrides` other than None replace those of the file.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        return Error(SettingsInvalid(path, error.strerror or "cannot be read"))
    except tomllib.TOMLDecodeError as error:
        return Error(SettingsInvalid(path, str(error)))
    document.update({k: v for k, v in overrides.items() if v is not None})
    unknown = set(document.get("bounds", {})) - set(Bounds.__struct_fields__)
    unknown |= set(document.get("weights", {})) - set(Weights.__struct_fields__)
    if unknown:
        return Error(SettingsInvalid(sorted(unknown)[0], "unknown setting"))
    try:
        settings = convert(document, Settings)
    except ValidationError as error:
        text, _, location = str(error).partition(" - at ")
        return Error(SettingsInvalid(location.strip("`") or path, text))
    error = next(find_errors(settings), None)
    return Error(error) if error else Ok(settings)
