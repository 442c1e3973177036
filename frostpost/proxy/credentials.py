"""Credentials of clients: a request is admitted on behalf of the tenant that holds its credential."""

import re
from hashlib import sha256

from msgspec import structs

from .failures import InvalidCredential
from .models import Tenant

# Ranks of routes lie below this, so that the rank of the tenant is compared first.
RANKS_PER_TENANT_RANK = 1 << 16
NO_TENANT = Tenant("")
# What a header value may hold, so that a name neither adds a line to a request nor reads as another name.
TENANT_NAME = re.compile(r"[^\x00-\x20\x7f-\xa0](?:[^\x00-\x1f\x7f-\x9f]*[^\x00-\x20\x7f-\xa0])?")


def is_tenant_name(name):
    """Return whether a name can be sent to a runner as a header value."""
    return TENANT_NAME.fullmatch(name) is not None


def credential_digest(credential):
    """Return the digest of a credential (bytes) by which it is looked up; the credential itself is not kept."""
    return sha256(credential).hexdigest()


def authenticate(routing, route, call):
    """Return the Tenant that holds the request's credential, or InvalidCredential if the route requires one.

    Returns NO_TENANT where none is required and none is known.
    """
    if routing.tenants is None:
        return NO_TENANT
    tenant = routing.tenants.get(call.credential)
    if tenant is None or not is_tenant_name(tenant.name):
        return NO_TENANT if route.is_keyless else InvalidCredential()
    return tenant


def id_scope_of(routing, tenant, call):
    """Return the tenant whose ids a request uses: the one that holds its credential, or else the last one that did.

    It is the same on routes with and without a required credential, since a change may turn one into the other. The
    result is empty for clients whose credential was never known.
    """
    name = tenant.name or routing.former_tenants.get(call.credential, "")
    return name if is_tenant_name(name) else ""


def ranked_for(tenant, route):
    """Return the route with the rank of the tenant's requests: by the tenant's rank, then by the route's."""
    if not tenant.rank:
        return route
    return structs.replace(route, rank=tenant.rank * RANKS_PER_TENANT_RANK + route.rank)
