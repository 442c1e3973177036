"""Credentials of clients: a request is admitted on behalf of the tenant that holds its credential."""

from hashlib import sha256

from msgspec import structs

from .failures import InvalidCredential
from .models import Tenant

# Ranks of routes lie below this, so that the rank of the tenant is compared first.
RANKS_PER_TENANT_RANK = 1 << 16
NO_TENANT = Tenant("")


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
    if tenant is None:
        return NO_TENANT if route.is_keyless else InvalidCredential()
    return tenant


def ranked_for(tenant, route):
    """Return the route with the rank of the tenant's requests: by the tenant's rank, then by the route's."""
    if not tenant.rank:
        return route
    return structs.replace(route, rank=tenant.rank * RANKS_PER_TENANT_RANK + route.rank)
