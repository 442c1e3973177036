"""Strict JSON parser: rejects duplicate keys, NaN, infinities and unpaired surrogates."""

import json
from math import isfinite

import msgspec
from expression import Error, Ok
from msgspec import Struct


class RoutingInvalid(Struct, frozen=True, tag="RoutingInvalid"):
    """A configuration document is invalid. path: the field or item; text: the error."""

    path: str
    text: str


class DuplicateKeyError(ValueError):
    """An object has a duplicate key."""


def object_from_pairs(pairs):
    """Return the pairs of an object as a dict; raises DuplicateKeyError."""
    decoded = dict(pairs)
    if len(decoded) != len(pairs):
        raise DuplicateKeyError("an object names a key twice")
    return decoded


def reject_constant(text):
    """Raise ValueError for NaN or an infinity."""
    raise ValueError(f"{text} is no number")


def parse_finite_float(text):
    """Parse a float; raises ValueError if it overflows."""
    value = float(text)
    return value if isfinite(value) else reject_constant(text)


def parse_json(body):
    """Parse the JSON object in `body`. Returns Result[dict, RoutingInvalid]."""
    try:
        text = body.decode("utf-8")
        if "\\ud" in text.lower():
            msgspec.json.decode(body)
        document = json.loads(
            text, object_pairs_hook=object_from_pairs, parse_constant=reject_constant, parse_float=parse_finite_float
        )
    except (ValueError, RecursionError, msgspec.DecodeError) as error:
        return Error(RoutingInvalid("", str(error)[:200]))
    return Ok(document) if isinstance(document, dict) else Error(RoutingInvalid("", "is no object"))
