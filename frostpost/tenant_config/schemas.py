"""Schemas of template and tenant documents."""

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
    """One error in a document; `path` is a JSON pointer."""

    path: str
    text: str


class ConfigInvalid(Struct, frozen=True, tag="ConfigInvalid"):
    """The document is invalid."""

    errors: tuple[FieldError, ...]


def or_parameter(rule):
    """Return a rule that accepts either a value that satisfies `rule` or a reference to a parameter."""
    return {"anyof": [rule, PARAMETER_REFERENCE]}


def check_cron(field, value, error):
    """Report an error unless the value is a cron expression of five fields."""
    if not isinstance(value, str) or len(value.split()) != 5 or not croniter.is_valid(value):
        error(field, "is no cron expression of five fields")


def integer_rule(minimum, maximum):
    """Return the rule for an integer in an inclusive range."""
    return {"type": "integer", "min": minimum, "max": maximum}


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
    """Yield the validator's nested errors as FieldError records with JSON pointers."""
    for key, field_errors in errors.items():
        field_path = f"{path}/{key}"
        for error in field_errors:
            if isinstance(error, dict):
                yield from flatten_errors(error, field_path)
            else:
                yield FieldError(field_path, str(error))


def validate(kind, document):
    """Validate a document against the schema of its kind; `notes` may hold any object.

    Returns the document in an Ok, or ConfigInvalid in an Error.
    """
    if not isinstance(document, dict):
        return Error(ConfigInvalid((FieldError("/", "must be an object"),)))
    if not isinstance(document.get("notes", {}), dict):
        return Error(ConfigInvalid((FieldError("/notes", "must be of dict type"),)))
    validator = Validator(SCHEMAS[kind], require_all=False, allow_unknown=False)
    if validator.validate({k: v for k, v in document.items() if k != "notes"}):
        return Ok(document)
    return Error(ConfigInvalid(tuple(flatten_errors(validator.errors, ""))))
