"""Instantiation of a tenant's routes from its template and parameters."""

from cerberus import Validator
from expression import Error, Ok
from msgspec import Struct

from .schemas import ROUTE_DEFAULTS, ROUTE_SCHEMA, ConfigInvalid, FieldError, validate


class Route(Struct, frozen=True):
    """One route of a tenant with all parameters substituted.

    `marks` are the versions, by path, of the documents from which it was instantiated.
    """

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
    declared = template.get("parameters", {})
    provided = tenant.get("parameters", {})
    for name in provided:
        if name not in declared:
            errors.append(FieldError(f"/parameters/{name}", "the template has no such parameter"))
    for name, rule in declared.items():
        value = provided.get(name, rule["default"])
        schema = {k: v for k, v in rule.items() if k != "default"}
        schema["type"] = "integer" if isinstance(rule["default"], int) else "string"
        validator = Validator({name: schema})
        if not validator.validate({name: value}):
            errors += [FieldError(f"/parameters/{name}", str(text)) for text in validator.errors[name]]
        values[name] = value
    return values, errors


def substitute(value, values, path, errors):
    """Return the value of the parameter that `value` refers to, or `value` itself if it is no reference.

    Returns None for an undeclared parameter, after adding an error to `errors`.
    """
    if isinstance(value, dict) and "$param" in value:
        name = value["$param"]
        if name not in values:
            errors.append(FieldError(path, f"parameter {name} is not declared"))
            return None
        return values[name]
    return value


def instantiate(tenant_name, template, tenant, marks=()):
    """Return the routes of a tenant by name, or ConfigInvalid with all errors."""
    values, errors = resolve_parameters(template, tenant)
    routes = {}
    for name, declaration in template["routes"].items():
        path = f"/routes/{name}"
        fields = {k: substitute(v, values, f"{path}/{k}", errors) for k, v in {**ROUTE_DEFAULTS, **declaration}.items()}
        if errors:
            continue
        validator = Validator(ROUTE_SCHEMA)
        if not validator.validate(fields):
            for key, texts in validator.errors.items():
                errors += [FieldError(f"{path}/{key}", str(text)) for text in texts]
            continue
        fields["pools"] = tuple(fields["pools"])
        routes[name] = Route(tenant_name, name, marks=tuple(marks), **fields)
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
    """Validate a tenant against its template, as it is and with each of its calendar changes applied."""

    def with_template(document):
        if template is None:
            return Error(ConfigInvalid((FieldError("/template", "no such template"),)))
        for position, calendar in enumerate(document.get("calendars", ())):
            changed = {**document, "parameters": {**document.get("parameters", {}), **calendar["set"]}}
            instantiated = instantiate(name, template, changed)
            if instantiated.is_error():
                return Error(
                    ConfigInvalid(
                        tuple(FieldError(f"/calendars/{position}{f.path}", f.text) for f in instantiated.error.errors)
                    )
                )
        return instantiate(name, template, document)

    return validate("tenants", tenant).bind(with_template)


def validate_template(template, tenants):
    """Validate a template, alone and with each tenant that uses it."""

    def with_tenants(document):
        errors = []
        for name, tenant in [("", {}), *tenants]:
            instantiated = validate_tenant(name, tenant, document) if name else instantiate(name, document, tenant)
            if instantiated.is_error():
                prefix = f"/tenants/{name}" if name else ""
                errors += [FieldError(prefix + f.path, f.text) for f in instantiated.error.errors]
        return Error(ConfigInvalid(tuple(errors))) if errors else Ok(document)

    return validate("templates", template).bind(with_tenants)
