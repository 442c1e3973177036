"""Ids of attempts, turns, programs and operation keys in the ledger: those of clients, qualified by tenant."""


def scoped_id(scope, client_id):
    """Return a client's id qualified by its tenant, so that equal ids of two tenants differ.

    Ids come from header values, which contain no line feed; without a scope the id is returned unchanged.
    """
    return f"{scope}\n{client_id}" if scope else client_id


def client_id_of(ledger_id):
    """Return the id as the client sent it; the inverse of `scoped_id`."""
    return ledger_id.rpartition("\n")[2]
