"""Reads the platform's settings file into `DaemonSettings`."""

import os
from ipaddress import IPv4Address
from math import isfinite

import yaml
from cerberus import Validator
from expression import Error, Ok
from msgspec import Struct

from frostpost.cluster.settings import DaemonSettings

PATH_VARIABLE = "FROSTPOST_BOOT"
ROLES = ("edge", "core", "storage")
MAX_LIST_MS, LIST_DRAIN_RATIO, DEFAULT_DRAIN_MS = 1200, 0.4, 3000
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class SettingsInvalid(Struct, frozen=True, tag="SettingsInvalid"):
    """The settings are invalid. path: dotted path of the field, or the file; text: the error."""

    path: str
    text: str


def parse_address(text):
    """Parse `ip:port` into (host, port), or None if it is invalid."""
    host, _, port = str(text).rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        return None
    return (host, int(port)) if port.isascii() and port.isdigit() and 0 < int(port) < 65536 else None


def check_address(field, value, error):
    """Cerberus check: an IPv4 address and port."""
    if parse_address(value) is None:
        error(field, "must be an IPv4 address and port")


def check_ip(field, value, error):
    """Cerberus check: an IPv4 address."""
    try:
        IPv4Address(value)
    except ValueError:
        error(field, "must be an IPv4 address")


def check_finite(field, value, error):
    """Cerberus check: neither infinite nor NaN."""
    if not isfinite(value):
        error(field, "must be finite")


NUMBER = {"type": "number", "check_with": check_finite, "min": 0, "max": 1e9, "nullable": True}
# Times of day are divided by it, in milliseconds.
WINDOW = {**NUMBER, "min": 0.001}
COUNT = {"type": "integer", "min": 0, "nullable": True}
ADDRESS = {"type": "string", "check_with": check_address, "nullable": True}
TIMERS = (
    "contact-ms",
    "ack-ms",
    "catch-up-s",
    "drain-ms",
    "grace-s",
    "loss-slack-ms",
    "apply-ms",
    "key-window-s",
    "recovery-s",
    "transit-ms",
    "report-window-s",
    "usage-delay-s",
)
TASK_KINDS = {"usage_report": "usage", "scaling": "scaling"}


def table_schema(**fields):
    """Return the schema of a table with these fields; others are allowed."""
    return {"type": "dict", "nullable": True, "schema": {name.replace("_", "-"): rule for name, rule in fields.items()}}


SCHEMA = {
    "node-name": {"type": "string", "empty": False},
    "machine-class": {"type": "string", "nullable": True},
    "serves": {"type": "list", "schema": {"type": "string"}, "nullable": True},
    "ip": {"type": "string", "required": True, "check_with": check_ip},
    "zone": {"type": "string", "nullable": True},
    "zones": {"type": "dict", "nullable": True, "valuesrules": {"type": "string", "nullable": True}},
    "bind-addresses": table_schema(front=ADDRESS, readiness=ADDRESS, control=ADDRESS),
    "port-range": {
        "type": "list",
        "required": True,
        "minlength": 1,
        "schema": {"type": "integer", "min": 1, "max": 65535},
    },
    "seeds": {"type": "list", "schema": {"type": "string", "check_with": check_address}, "nullable": True},
    "initial-start": {"type": "boolean", "nullable": True},
    "limits": table_schema(memory_mb=NUMBER, max_fds=NUMBER, disk_mb=NUMBER),
    "data-dir": {"type": "string", "nullable": True},
    "tolerance": table_schema(machines=COUNT, zones=COUNT, regions=COUNT),
    "timers": table_schema(**{name: NUMBER for name in (*TIMERS, "lease-ms")} | {"report-window-s": WINDOW}),
    "cloud-api": table_schema(
        address=ADDRESS,
        rate_per_s=NUMBER,
        duty_per_s=NUMBER,
        duties={"type": "list", "schema": {"type": "string"}, "nullable": True},
    ),
    "frostpost-trace": {"type": "boolean", "nullable": True},
}


def first_error(errors, path=""):
    """Return the first validation error with its path."""
    name, messages = next(iter(errors.items()))
    field_path = f"{path}.{name}" if path else str(name)
    last_message = messages[-1]
    return (
        first_error(last_message, field_path)
        if isinstance(last_message, dict)
        else SettingsInvalid(field_path, str(messages[0]))
    )


def machine_role(document):
    """Return the daemon's role according to what the machine serves."""
    serves = document.get("serves") or []
    if "storage" in serves:
        return "storage"
    if "edge" in serves:
        return "edge"
    return "core" if "control" in serves else document.get("machine-class")


def convert_timers(timers):
    """Convert the known timers into fields of DaemonSettings, in milliseconds."""
    converted = {}
    for name in TIMERS:
        value = timers.get(name)
        if value is not None:
            base, _, unit = name.rpartition("-")
            converted[base.replace("-", "_") + "_ms"] = round(value * 1000) if unit == "s" else round(value)
    return converted


def task_fields(cloud_api, timers):
    """Return the fields of DaemonSettings about the tasks that the platform wants; unknown kinds are ignored."""
    kinds = cloud_api.get("duties") or ()
    fields = {"platform_tasks": tuple(TASK_KINDS[kind] for kind in kinds if kind in TASK_KINDS)}
    if cloud_api.get("duty-per-s") is not None:
        fields["tasks_per_s"] = float(cloud_api["duty-per-s"])
    if timers.get("lease-ms") is not None:
        fields["task_separation_ms"] = round(timers["lease-ms"])
    return fields


def integer_fields(section, **keys):
    """Return the keys of a section that are set, as integers by field of DaemonSettings."""
    return {field: int(section[key]) for field, key in keys.items() if section.get(key) is not None}


def from_document(document, role=None):
    """Convert a decoded document; `role` overrides the one in it. Returns Result[DaemonSettings, SettingsInvalid]."""
    if not isinstance(document, dict):
        return Error(SettingsInvalid("", "must be a mapping"))
    validator = Validator(SCHEMA, allow_unknown=True)
    if not validator.validate(document):
        return Error(first_error(validator.errors))
    role, data = role or machine_role(document), document.get("data-dir") or ""
    if role not in ROLES:
        return Error(SettingsInvalid("serves", "neither it nor machine-class gives a known role"))
    if role == "storage" and not data:
        return Error(SettingsInvalid("data-dir", "is required on a storage daemon"))
    bind_addresses, cloud_api = document.get("bind-addresses") or {}, document.get("cloud-api") or {}
    host, port = document["ip"], document["port-range"][0]
    seeds = tuple(f"{parse_address(seed)[0]}:{port}" for seed in document.get("seeds") or ())
    fields = convert_timers(document.get("timers") or {})
    fields |= integer_fields(document.get("limits") or {}, memory_mb="memory-mb", max_fds="max-fds", disk_mb="disk-mb")
    fields |= integer_fields(
        document.get("tolerance") or {}, tolerated="machines", tolerated_zones="zones", tolerated_regions="regions"
    )
    fields |= task_fields(cloud_api, document.get("timers") or {})
    fields["regions"] = {zone: region or "" for zone, region in (document.get("zones") or {}).items()}
    if cloud_api.get("address"):
        fields["list_host"], fields["list_port"] = parse_address(cloud_api["address"])
    if cloud_api.get("rate-per-s") is not None:
        fields["list_rate_per_s"] = float(cloud_api["rate-per-s"])
    addresses = {
        name: parse_address(bind_addresses[name])
        for name in ("front", "readiness", "control")
        if bind_addresses.get(name)
    }
    drain_ms = fields.setdefault("drain_ms", DEFAULT_DRAIN_MS)
    return Ok(
        DaemonSettings(
            name=document.get("node-name") or f"{role}-{host}",
            role=role,
            zone=document.get("zone") or "",
            host=host,
            port=port,
            seeds=seeds,
            first_start=bool(document.get("initial-start")),
            data=data,
            trace=bool(document.get("frostpost-trace")),
            list_ms=max(50, int(min(MAX_LIST_MS, drain_ms * LIST_DRAIN_RATIO))),
            **addresses,
            **fields,
        )
    )


def read_settings(path=None, role=None):
    """Read the settings file at `path`, by default the one that the environment variable FROSTPOST_BOOT names."""
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        return Error(SettingsInvalid(PATH_VARIABLE, "is not set"))
    try:
        with open(path, "rb") as file:
            document = yaml.load(file, Loader=LOADER)
    except OSError as error:
        return Error(SettingsInvalid(path, error.strerror or "cannot be read"))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Error(SettingsInvalid(path, " ".join(str(error).split())[:200]))
    return from_document(document, role)
