"""Tenants of the ledger's records: those that their ids name, or that adopted the credential they were made with.

Ids of requests whose credential no tenant holds carry no tenant; the records name the credential instead, until a
tenant adopts it (see `adoption`).
"""

from msgspec import structs

from .ids import client_id_of, scope_of, scoped_id


def tenant_of(program_ledger, name, credential):
    """Return the tenant that a request acts for: that of its ids, or else the one that adopted its credential."""
    scope = scope_of(name)
    if scope or not credential:
        return scope
    adoption = program_ledger.adoptions.get(credential)
    return adoption.tenant if adoption else ""


def recorded_name(program_ledger, name, credential):
    """Return the name under which a key or program is recorded: that of the tenant that the request acts for."""
    return name if scope_of(name) else scoped_id(tenant_of(program_ledger, name, credential), name)


def find_turn(program_ledger, tenant, name):
    """Return the recorded name of a tenant's retained turn, or None if there is none.

    Turns that the tenant adopted have kept their names. An empty tenant finds the turns that belong to none.
    """
    client_id = client_id_of(name)
    for recorded in (scoped_id(tenant, client_id), client_id):
        turn = program_ledger.turns.get(recorded)
        if turn is not None and (scope_of(recorded) or turn.tenant) == tenant:
            return recorded
    return None


def with_recorded_names(program_ledger, op):
    """Return the operation with the names under which its program and the turn to follow are recorded.

    Returns None if the turn is not retained, or belongs to another tenant. A program that is named after its only
    attempt keeps that name.
    """
    program = op.program if op.program == op.attempt else recorded_name(program_ledger, op.program, op.credential)
    previous = op.previous
    if previous:
        previous = find_turn(program_ledger, tenant_of(program_ledger, op.attempt, op.credential), previous)
    if previous is None:
        return None
    is_unchanged = (program, previous) == (op.program, op.previous)
    return op if is_unchanged else structs.replace(op, program=program, previous=previous)
