"""JSON of the platform read strictly: no key twice, no constants that aren't numbers."""

import json
from math import isfinite

import msgspec
from expression import Error, Ok
from msgspec import Struct


class RoutingInvalid(Struct, frozen=True, tag="RoutingInvalid"):
    """path: what is wrong in a document; text: why."""

    path: str
    text: str


class DuplicateKeyError(ValueError):
    """An object that names one key twice."""


def without_doubles(pairs):
    """An object's pairs as a dict; a name that comes twice is an error."""
    found = dict(pairs)
    if len(found) != len(pairs):
        raise DuplicateKeyError("an object names a key twice")
    return found


def no_constant(text):
    """NaN and infinities are errors."""
    raise ValueError(f"{text} is no number")


def finite(text):
    """A number; one that overflows is an error."""
    value = float(text)
    return value if isfinite(value) else no_constant(text)


def read_json(body):
    """Result[object, RoutingInvalid] of bytes."""
    try:
        text = body.decode("utf-8")
        if "\\ud" in text.lower():
            msgspec.json.decode(body)
        document = json.loads(text, object_pairs_hook=without_doubles, parse_constant=no_constant, parse_float=finite)
    except (ValueError, RecursionError, msgspec.DecodeError) as fault:
        return Error(RoutingInvalid("", str(fault)[:200]))
    return Ok(document) if isinstance(document, dict) else Error(RoutingInvalid("", "is no object"))
