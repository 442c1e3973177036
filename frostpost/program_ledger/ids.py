"""Ids of attempts, turns, programs and operation keys in the ledger: those of clients, qualified by tenant."""

CREDENTIAL_ID_LENGTH = 32


def scoped_id(scope, client_id):
    """Return a client's id qualified by its tenant, so that equal ids of two tenants differ.

    Ids come from header values, which contain no line feed; without a scope the id is returned unchanged.
    """
    return f"{scope}\n{client_id}" if scope else client_id


def credential_id(digest):
    """Return what identifies a credential in the ledger: the start of its digest, 128 bits in hexadecimal."""
    return digest[:CREDENTIAL_ID_LENGTH]


def hosted_key(host, key):
    """Return the form of an operation key in `KeyOperation`s, which names the host that the client asked for.

    Ledgers under rules older than `keys.TENANT_KEY_RULES` need the host, so it stays in the form. A host has no "|".
    """
    return f"{host}|{key}"


def tenant_key(ledger_key):
    """Return a scoped `hosted_key` without its host, which leaves the tenant and the client's key."""
    scope, separator, form = ledger_key.rpartition("\n")
    host, has_host, key = form.partition("|")
    return scope + separator + (key if has_host else host)


def scope_of(ledger_id):
    """Return the tenant that qualifies an id, empty if there is none."""
    return ledger_id.rpartition("\n")[0]


def client_id_of(ledger_id):
    """Return the id as the client sent it; the inverse of `scoped_id`."""
    return ledger_id.rpartition("\n")[2]
