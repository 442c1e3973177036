"""Schemas of templates and tenants."""

import re

from cerberus import Validator
from croniter import croniter
from expression import Error, Ok
from msgspec import Struct

WORD = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")
PARAM = {"type": "dict", "schema": {"$param": {"type": "string", "required": True, "regex": WORD.pattern}}}


class FieldError(Struct, frozen=True):
    """One error in a document: where, as a JSON pointer, and what."""

    path: str
    text: str


class ConfigInvalid(Struct, frozen=True, tag="ConfigInvalid"):
    """A document with errors."""

    errors: tuple[FieldError, ...]


def either(rule):
    """Allow a value by a rule, or a reference to a parameter in its place."""
    return {"anyof": [rule, PARAM]}


def cron(field, value, error):
    """Check a cron expression of five fields."""
    if not isinstance(value, str) or len(value.split()) != 5 or not croniter.is_valid(value):
        error(field, "is no cron expression of five fields")


def whole(low, high):
    """Return the rule for an integer in a range."""
    return {"type": "integer", "min": low, "max": high}


ROUTE = {
    "kind": {"type": "string", "allowed": ["turn", "lookup"], "required": True},
    "pools": {"type": "list", "minlength": 1, "required": True, "schema": {"type": "string", "regex": WORD.pattern}},
    "repeat": either({"type": "string", "allowed": ["free", "once", "keyed"]}),
    "urgency": either({"type": "string", "allowed": ["urgent", "normal", "batch"]}),
    "deadline_ms": either(whole(1, 600000)),
    "retention_ms": either(whole(1000, 2592000000)),
    "budget": either(whole(1, 1000000000)),
    "budget_retention_ms": either(whole(1000, 2592000000)),
    "max_output": either(whole(1, 100000)),
    "key_window_ms": either(whole(60000, 3600000)),
}
TEMPLATE = {
    "parameters": {
        "type": "dict",
        "keysrules": {"type": "string", "regex": WORD.pattern},
        "valuesrules": {
            "type": "dict",
            "schema": {
                "default": {"required": True, "type": ["integer", "string"]},
                "allowed": {"type": "list"},
                "min": {"type": "integer"},
                "max": {"type": "integer"},
            },
        },
    },
    "routes": {
        "type": "dict",
        "required": True,
        "minlength": 1,
        "keysrules": {"type": "string", "regex": WORD.pattern},
        "valuesrules": {"type": "dict", "schema": ROUTE},
    },
}
TENANT = {
    "template": {"type": "string", "required": True, "regex": WORD.pattern},
    "parameters": {
        "type": "dict",
        "keysrules": {"type": "string", "regex": WORD.pattern},
        "valuesrules": {"type": ["integer", "string"]},
    },
    "calendars": {
        "type": "list",
        "maxlength": 50,
        "schema": {
            "type": "dict",
            "schema": {
                "cron": {"type": "string", "required": True, "check_with": cron},
                "set": {
                    "type": "dict",
                    "required": True,
                    "minlength": 1,
                    "keysrules": {"type": "string", "regex": WORD.pattern},
                    "valuesrules": {"type": ["integer", "string"]},
                },
            },
        },
    },
}
SHAPES = {"templates": TEMPLATE, "tenants": TENANT}
DEFAULTS = {
    "repeat": "once",
    "urgency": "normal",
    "deadline_ms": 30000,
    "retention_ms": 3600000,
    "budget": 10000,
    "budget_retention_ms": 7200000,
    "max_output": 256,
    "key_window_ms": 60000,
}


def flatten(errors, path):
    """Yield the validator's nested errors as one list with pointers."""
    for key, said in errors.items():
        here = f"{path}/{key}"
        for one in said:
            if isinstance(one, dict):
                yield from flatten(one, here)
            else:
                yield FieldError(here, str(one))


def check(kind, document):
    """Check a document of a kind against its schema."""
    if not isinstance(document, dict):
        return Error(ConfigInvalid((FieldError("/", "must be an object"),)))
    if not isinstance(document.get("notes", {}), dict):
        return Error(ConfigInvalid((FieldError("/notes", "must be of dict type"),)))
    validator = Validator(SHAPES[kind], require_all=False, allow_unknown=False)
    if validator.validate({k: v for k, v in document.items() if k != "notes"}):
        return Ok(document)
    return Error(ConfigInvalid(tuple(flatten(validator.errors, ""))))
