"""The platform's settings file, read into `DaemonSettings`."""

import os
from ipaddress import IPv4Address
from math import isfinite

import yaml
from cerberus import Validator
from expression import Error, Ok
from msgspec import Struct

from frostpost.cluster.settings import DaemonSettings

VARIABLE = "FROSTPOST_BOOT"
ROLES = ("edge", "core", "storage")
LIST_MS, LIST_SHARE_OF_DRAIN, DRAIN_MS = 1200, 0.4, 3000
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class SettingsInvalid(Struct, frozen=True, tag="SettingsInvalid"):
    """path: the field that is wrong, with dots; text: what is wrong with it."""

    path: str
    text: str


def address_of(text):
    """(host, port) of `host:port`, or None."""
    host, _, port = str(text).rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        return None
    return (host, int(port)) if port.isascii() and port.isdigit() and 0 < int(port) < 65536 else None


def check_address(field, value, error):
    """A rule of cerberus: "ip:port"."""
    if address_of(value) is None:
        error(field, "is no IP number and port")


def check_ip(field, value, error):
    """A rule of cerberus: an IP number."""
    try:
        IPv4Address(value)
    except ValueError:
        error(field, "is no IP number")


def check_finite(field, value, error):
    """A rule of cerberus: no infinite number and no NaN."""
    if not isfinite(value):
        error(field, "must be finite")


NUMBER = {"type": "number", "check_with": check_finite, "min": 0, "max": 1e9, "nullable": True}
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
)


def table(**fields):
    """A schema of a table with these fields; others are allowed."""
    return {"type": "dict", "nullable": True, "schema": {name.replace("_", "-"): rule for name, rule in fields.items()}}


SCHEMA = {
    "node-name": {"type": "string", "empty": False},
    "machine-class": {"type": "string", "nullable": True},
    "serves": {"type": "list", "schema": {"type": "string"}, "nullable": True},
    "ip": {"type": "string", "required": True, "check_with": check_ip},
    "zone": {"type": "string", "nullable": True},
    "zones": {"type": "dict", "nullable": True, "valuesrules": {"type": "string", "nullable": True}},
    "bind-addresses": table(front=ADDRESS, readiness=ADDRESS, control=ADDRESS),
    "port-range": {
        "type": "list",
        "required": True,
        "minlength": 1,
        "schema": {"type": "integer", "min": 1, "max": 65535},
    },
    "seeds": {"type": "list", "schema": {"type": "string", "check_with": check_address}, "nullable": True},
    "initial-start": {"type": "boolean", "nullable": True},
    "limits": table(memory_mb=NUMBER, max_fds=NUMBER, disk_mb=NUMBER),
    "data-dir": {"type": "string", "nullable": True},
    "tolerance": table(machines=COUNT, zones=COUNT, regions=COUNT),
    "timers": table(**{name: NUMBER for name in TIMERS}),
    "cloud-api": table(address=ADDRESS, rate_per_s=NUMBER),
    "frostpost-trace": {"type": "boolean", "nullable": True},
}


def first_error(errors, path=""):
    """The first error of a validation, with its path."""
    name, found = next(iter(errors.items()))
    where = f"{path}.{name}" if path else str(name)
    last = found[-1]
    return first_error(last, where) if isinstance(last, dict) else SettingsInvalid(where, str(found[0]))


def role_of(document):
    """The product's role by what the machine serves."""
    serves = document.get("serves") or []
    if "storage" in serves:
        return "storage"
    if "edge" in serves:
        return "edge"
    return "core" if "control" in serves else document.get("machine-class")


def timers_of(timers):
    """Those of the platform's timers that the product knows, as its own fields in milliseconds."""
    found = {}
    for name in TIMERS:
        value = timers.get(name)
        if value is not None:
            base, _, unit = name.rpartition("-")
            found[base.replace("-", "_") + "_ms"] = round(value * 1000) if unit == "s" else round(value)
    return found


def whole(found, **names):
    """The fields that are there, as whole numbers under the product's names."""
    return {ours: int(found[theirs]) for ours, theirs in names.items() if found.get(theirs) is not None}


def from_document(document, role=None):
    """A document as read -> Result[DaemonSettings, SettingsInvalid]; a role given wins over the file's."""
    if not isinstance(document, dict):
        return Error(SettingsInvalid("", "is no mapping"))
    validator = Validator(SCHEMA, allow_unknown=True)
    if not validator.validate(document):
        return Error(first_error(validator.errors))
    role, data = role or role_of(document), document.get("data-dir") or ""
    if role not in ROLES:
        return Error(SettingsInvalid("serves", "names no role that is known"))
    if role == "storage" and not data:
        return Error(SettingsInvalid("data-dir", "a storage daemon needs a data folder"))
    bound, api = document.get("bind-addresses") or {}, document.get("cloud-api") or {}
    host, port = document["ip"], document["port-range"][0]
    seeds = tuple(f"{address_of(seed)[0]}:{port}" for seed in document.get("seeds") or ())
    fields = timers_of(document.get("timers") or {})
    fields |= whole(document.get("limits") or {}, memory_mb="memory-mb", max_fds="max-fds", disk_mb="disk-mb")
    fields |= whole(
        document.get("tolerance") or {}, tolerated="machines", tolerated_zones="zones", tolerated_regions="regions"
    )
    fields["regions"] = {zone: region or "" for zone, region in (document.get("zones") or {}).items()}
    if api.get("address"):
        fields["list_host"], fields["list_port"] = address_of(api["address"])
    if api.get("rate-per-s") is not None:
        fields["list_rate_per_s"] = float(api["rate-per-s"])
    places = {name: address_of(bound[name]) for name in ("front", "readiness", "control") if bound.get(name)}
    drain_ms = fields.setdefault("drain_ms", DRAIN_MS)
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
            list_ms=max(50, int(min(LIST_MS, drain_ms * LIST_SHARE_OF_DRAIN))),
            **places,
            **fields,
        )
    )


def read(path=None, role=None):
    """Read the file at path, or the one that the environment names."""
    path = path or os.environ.get(VARIABLE)
    if not path:
        return Error(SettingsInvalid(VARIABLE, "is not set"))
    try:
        with open(path, "rb") as file:
            document = yaml.load(file, Loader=LOADER)
    except OSError as fault:
        return Error(SettingsInvalid(path, fault.strerror or "cannot be read"))
    except (yaml.YAMLError, ValueError, RecursionError) as fault:
        return Error(SettingsInvalid(path, " ".join(str(fault).split())[:200]))
    return from_document(document, role)
