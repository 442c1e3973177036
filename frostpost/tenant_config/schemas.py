"""Schemas of templates and tenants."""

import re

from cerberus import Validator
from croniter import croniter
from expression import Error, Ok
from msgspec import Struct

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")
PARAMETER_REFERENCE = {
    "type": "dict",
    "schema": {"$param": {"type": "string", "required": True, "regex": NAME_PATTERN.pattern}},
}


class FieldError(Struct, frozen=True):
    """One error in a document: where, as a JSON pointer, and what."""

    path: str
    text: str


class ConfigInvalid(Struct, frozen=True, tag="ConfigInvalid"):
    """A document with errors."""

    errors: tuple[FieldError, ...]


def or_parameter(rule):
    """Allow a value by a rule, or a reference to a parameter in its place."""
    return {"anyof": [rule, PARAMETER_REFERENCE]}


def check_cron(field, value, error):
    """Check a cron expression of five fields."""
    if not isinstance(value, str) or len(value.split()) != 5 or not croniter.is_valid(value):
        error(field, "is no cron expression of five fields")


def integer_rule(low, high):
    """Return the rule for an integer in a range."""
    return {"type": "integer", "min": low, "max": high}


ROUTE_SCHEMA = {
    "kind": {"type": "string", "allowed": ["turn", "lookup"], "required": True},
    "pools": {
        "type": "list",
        "minlength": 1,
        "required": True,
        "schema": {"type": "string", "regex": NAME_PATTERN.pattern},
    },
    "repeat": or_parameter({"type": "string", "allowed": ["free", "once", "keyed"]}),
    "urgency": or_parameter({"type": "string", "allowed": ["urgent", "normal", "batch"]}),
    "deadline_ms": or_parameter(integer_rule(1, 600000)),
    "retention_ms": or_parameter(integer_rule(1000, 2592000000)),
    "budget": or_parameter(integer_rule(1, 1000000000)),
    "budget_retention_ms": or_parameter(integer_rule(1000, 2592000000)),
    "max_output": or_parameter(integer_rule(1, 100000)),
    "key_window_ms": or_parameter(integer_rule(60000, 3600000)),
}
TEMPLATE_SCHEMA = {
    "parameters": {
        "type": "dict",
        "keysrules": {"type": "string", "regex": NAME_PATTERN.pattern},
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
        "keysrules": {"type": "string", "regex": NAME_PATTERN.pattern},
        "valuesrules": {"type": "dict", "schema": ROUTE_SCHEMA},
    },
}
TENANT_SCHEMA = {
    "template": {"type": "string", "required": True, "regex": NAME_PATTERN.pattern},
    "parameters": {
        "type": "dict",
        "keysrules": {"type": "string", "regex": NAME_PATTERN.pattern},
        "valuesrules": {"type": ["integer", "string"]},
    },
    "calendars": {
        "type": "list",
        "maxlength": 50,
        "schema": {
            "type": "dict",
            "schema": {
                "cron": {"type": "string", "required": True, "check_with": check_cron},
                "set": {
                    "type": "dict",
                    "required": True,
                    "minlength": 1,
                    "keysrules": {"type": "string", "regex": NAME_PATTERN.pattern},
                    "valuesrules": {"type": ["integer", "string"]},
                },
            },
        },
    },
}
SCHEMAS = {"templates": TEMPLATE_SCHEMA, "tenants": TENANT_SCHEMA}
ROUTE_DEFAULTS = {
    "repeat": "once",
    "urgency": "normal",
    "deadline_ms": 30000,
    "retention_ms": 3600000,
    "budget": 10000,
    "budget_retention_ms": 7200000,
    "max_output": 256,
    "key_window_ms": 60000,
}


def flatten_errors(errors, path):
    """Yield the validator's nested errors as one list with pointers."""
    for key, said in errors.items():
        here = f"{path}/{key}"
        for one in said:
            if isinstance(one, dict):
                yield from flatten_errors(one, here)
            else:
                yield FieldError(here, str(one))


def validate(kind, document):
    """Check a document of a kind against its schema."""
    if not isinstance(document, dict):
        return Error(ConfigInvalid((FieldError("/", "must be an object"),)))
    if not isinstance(document.get("notes", {}), dict):
        return Error(ConfigInvalid((FieldError("/notes", "must be of dict type"),)))
    validator = Validator(SCHEMAS[kind], require_all=False, allow_unknown=False)
    if validator.validate({k: v for k, v in document.items() if k != "notes"}):
        return Ok(document)
    return Error(ConfigInvalid(tuple(flatten_errors(validator.errors, ""))))
