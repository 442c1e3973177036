"""Changes of a configuration document by named items."""

from cerberus import Validator
from expression import Error, Ok

from .document_validation import MAX_ISSUE, first_duplicate, validate_schema
from .strict_json import RoutingInvalid, parse_json

CHANGE_VALIDATOR = Validator(
    {
        "issue": {"type": "integer", "required": True, "min": 1, "max": MAX_ISSUE},
        "upsert": {"type": "dict", "nullable": True, "valuesrules": {"type": ["list", "dict"]}},
        "remove": {"type": "dict", "nullable": True, "valuesrules": {"type": "list", "schema": {"type": "string"}}},
        "limits": {"type": "dict", "nullable": True},
    }
)


def parse_change(body):
    """Parse and validate a change. Returns Result[change, RoutingInvalid]."""
    return parse_json(body).bind(lambda change: validate_schema(CHANGE_VALIDATOR, change)).bind(check_item_names)


def check_item_names(change):
    """Check that all items of a change have distinct names. Returns Result[change, RoutingInvalid]."""
    for table, items in (change.get("upsert") or {}).items():
        if isinstance(items, dict):
            continue
        if not all(isinstance(item_name(item), str) for item in items):
            return Error(RoutingInvalid(f"upsert.{table}", "an item has no name"))
        if first_duplicate(map(item_name, items)) is not None:
            return Error(RoutingInvalid(f"upsert.{table}", "two items have the same name"))
    return Ok(change)


def item_name(item):
    """Return the name of a route or service of a decoded document, or None."""
    return item.get("name") if isinstance(item, dict) else None


def table_items(document, table):
    """Return the items of a table of a decoded document; empty if the table is missing or not a list."""
    items = document.get(table)
    return items if isinstance(items, list) else []


def apply_change(document, change):
    """Return the document with items removed by name, then replaced in place or appended.

    Names to remove that are not in the document are ignored.
    """
    merged = {**document, "issue": change["issue"]}
    if change.get("limits") is not None:
        merged["limits"] = change["limits"]
    for table, removed_names in (change.get("remove") or {}).items():
        if table in merged and removed_names:
            removed_names = set(removed_names)
            merged[table] = [item for item in table_items(merged, table) if item_name(item) not in removed_names]
    for table, items in (change.get("upsert") or {}).items():
        if isinstance(items, dict):
            merged[table] = items
            continue
        replacements = {item["name"]: item for item in items}
        updated = [replacements.pop(item_name(item), item) for item in table_items(merged, table)]
        merged[table] = updated + list(replacements.values())
    return merged
