"""Make a tenant's routes of its template and parameters."""

from cerberus import Validator
from expression import Error, Ok
from msgspec import Struct

from .shapes import DEFAULTS, LANE, ConfigInvalid, Fault, check


class Lane(Struct, frozen=True):
    """One route of a tenant, with all parameters filled in; times in milliseconds."""

    tenant: str
    name: str
    kind: str
    pools: tuple[str, ...]
    repeat: str
    urgency: str
    limit_ms: int
    keep_ms: int
    budget: int
    max_output: int
    key_window_ms: int
    budget_keep_ms: int = 7200000
    marks: tuple[tuple[str, int], ...] = ()


def parameters(template, tenant):
    """Return the parameter values of a tenant and the errors in them."""
    values, faults = {}, []
    known = template.get("parameters", {})
    given = tenant.get("parameters", {})
    for name in given:
        if name not in known:
            faults.append(Fault(f"/parameters/{name}", "the template has no such parameter"))
    for name, rule in known.items():
        value = given.get(name, rule["default"])
        checker = {k: v for k, v in rule.items() if k != "default"}
        checker["type"] = "integer" if isinstance(rule["default"], int) else "string"
        validator = Validator({name: checker})
        if not validator.validate({name: value}):
            faults += [Fault(f"/parameters/{name}", str(t)) for t in validator.errors[name]]
        values[name] = value
    return values, faults


def fill(value, values, path, faults):
    """Put a parameter's value in the place of a reference to it."""
    if isinstance(value, dict) and "$param" in value:
        name = value["$param"]
        if name not in values:
            faults.append(Fault(path, f"parameter {name} is not declared"))
            return None
        return values[name]
    return value


def stamp(tenant_name, template, tenant, marks=()):
    """Return the routes of a tenant by name, or ConfigInvalid with every error."""
    values, faults = parameters(template, tenant)
    lanes = {}
    for name, shape in template["lanes"].items():
        path = f"/lanes/{name}"
        filled = {k: fill(v, values, f"{path}/{k}", faults) for k, v in {**DEFAULTS, **shape}.items()}
        if faults:
            continue
        validator = Validator(LANE)
        if not validator.validate(filled):
            for key, said in validator.errors.items():
                faults += [Fault(f"{path}/{key}", str(t)) for t in said]
            continue
        filled["pools"] = tuple(filled["pools"])
        lanes[name] = Lane(tenant_name, name, marks=tuple(marks), **filled)
    if faults:
        return Error(ConfigInvalid(tuple(faults)))
    return Ok(lanes)


def patch(document, change):
    """Apply a JSON merge patch (RFC 7386) and return the new document."""
    if not isinstance(change, dict):
        return change
    base = dict(document) if isinstance(document, dict) else {}
    for key, value in change.items():
        if value is None:
            base.pop(key, None)
        else:
            base[key] = patch(base.get(key), value)
    return base


def check_tenant(name, tenant, template):
    """Check a tenant against its template, with each of its calendar changes."""

    def with_template(document):
        if template is None:
            return Error(ConfigInvalid((Fault("/template", "no such template"),)))
        for n, calendar in enumerate(document.get("calendars", ())):
            amended = {**document, "parameters": {**document.get("parameters", {}), **calendar["set"]}}
            stamped = stamp(name, template, amended)
            if stamped.is_error():
                return Error(
                    ConfigInvalid(tuple(Fault(f"/calendars/{n}{f.path}", f.text) for f in stamped.error.faults))
                )
        return stamp(name, template, document)

    return check("tenants", tenant).bind(with_template)


def check_template(template, tenants):
    """Check a template, alone and with each tenant that uses it."""

    def with_tenants(document):
        faults = []
        for name, tenant in [("", {}), *tenants]:
            stamped = check_tenant(name, tenant, document) if name else stamp(name, document, tenant)
            if stamped.is_error():
                where = f"/tenants/{name}" if name else ""
                faults += [Fault(where + f.path, f.text) for f in stamped.error.faults]
        return Error(ConfigInvalid(tuple(faults))) if faults else Ok(document)

    return check("templates", template).bind(with_tenants)
