"""Make a tenant's routes of its template and parameters."""

from cerberus import Validator
from expression import Error, Ok
from msgspec import Struct

from .schemas import ROUTE_DEFAULTS, ROUTE_SCHEMA, ConfigInvalid, FieldError, validate


class Route(Struct, frozen=True):
    """One route of a tenant, with all parameters filled in; times in milliseconds."""

    tenant: str
    name: str
    kind: str
    pools: tuple[str, ...]
    repeat: str
    urgency: str
    deadline_ms: int
    retention_ms: int
    budget: int
    max_output: int
    key_window_ms: int
    budget_retention_ms: int = 7200000
    marks: tuple[tuple[str, int], ...] = ()


def resolve_parameters(template, tenant):
    """Return the parameter values of a tenant and the errors in them."""
    values, errors = {}, []
    known = template.get("parameters", {})
    given = tenant.get("parameters", {})
    for name in given:
        if name not in known:
            errors.append(FieldError(f"/parameters/{name}", "the template has no such parameter"))
    for name, rule in known.items():
        value = given.get(name, rule["default"])
        checker = {k: v for k, v in rule.items() if k != "default"}
        checker["type"] = "integer" if isinstance(rule["default"], int) else "string"
        validator = Validator({name: checker})
        if not validator.validate({name: value}):
            errors += [FieldError(f"/parameters/{name}", str(t)) for t in validator.errors[name]]
        values[name] = value
    return values, errors


def substitute(value, values, path, errors):
    """Put a parameter's value in the place of a reference to it."""
    if isinstance(value, dict) and "$param" in value:
        name = value["$param"]
        if name not in values:
            errors.append(FieldError(path, f"parameter {name} is not declared"))
            return None
        return values[name]
    return value


def instantiate(tenant_name, template, tenant, marks=()):
    """Return the routes of a tenant by name, or ConfigInvalid with every error."""
    values, errors = resolve_parameters(template, tenant)
    routes = {}
    for name, shape in template["routes"].items():
        path = f"/routes/{name}"
        filled = {k: substitute(v, values, f"{path}/{k}", errors) for k, v in {**ROUTE_DEFAULTS, **shape}.items()}
        if errors:
            continue
        validator = Validator(ROUTE_SCHEMA)
        if not validator.validate(filled):
            for key, said in validator.errors.items():
                errors += [FieldError(f"{path}/{key}", str(t)) for t in said]
            continue
        filled["pools"] = tuple(filled["pools"])
        routes[name] = Route(tenant_name, name, marks=tuple(marks), **filled)
    if errors:
        return Error(ConfigInvalid(tuple(errors)))
    return Ok(routes)


def merge_patch(document, change):
    """Apply a JSON merge patch (RFC 7386) and return the new document."""
    if not isinstance(change, dict):
        return change
    base = dict(document) if isinstance(document, dict) else {}
    for key, value in change.items():
        if value is None:
            base.pop(key, None)
        else:
            base[key] = merge_patch(base.get(key), value)
    return base


def validate_tenant(name, tenant, template):
    """Check a tenant against its template, with each of its calendar changes."""

    def with_template(document):
        if template is None:
            return Error(ConfigInvalid((FieldError("/template", "no such template"),)))
        for n, calendar in enumerate(document.get("calendars", ())):
            amended = {**document, "parameters": {**document.get("parameters", {}), **calendar["set"]}}
            stamped = instantiate(name, template, amended)
            if stamped.is_error():
                return Error(
                    ConfigInvalid(tuple(FieldError(f"/calendars/{n}{f.path}", f.text) for f in stamped.error.errors))
                )
        return instantiate(name, template, document)

    return validate("tenants", tenant).bind(with_template)


def validate_template(template, tenants):
    """Check a template, alone and with each tenant that uses it."""

    def with_tenants(document):
        errors = []
        for name, tenant in [("", {}), *tenants]:
            stamped = validate_tenant(name, tenant, document) if name else instantiate(name, document, tenant)
            if stamped.is_error():
                where = f"/tenants/{name}" if name else ""
                errors += [FieldError(where + f.path, f.text) for f in stamped.error.errors]
        return Error(ConfigInvalid(tuple(errors))) if errors else Ok(document)

    return validate("templates", template).bind(with_tenants)
