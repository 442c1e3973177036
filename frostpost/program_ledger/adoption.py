"""Adoption of credentials: what their clients did before belongs to the tenant that is the first to hold them.

A change of the routing that gives a credential to a tenant gives it the records that were made with the credential as
well, at one place in the order. Keys and programs get names of the tenant; turns and attempts, whose bodies are stored
by their names, keep them and name the tenant. A daemon that has yet to honour the change sends names without a tenant;
they stand for those of the tenant as long as the adoption is remembered.
"""

from heapq import heappush

from msgspec import structs

from .ids import scoped_id
from .key_messages import ClaimOperationKey, ReleaseOperationKey, ResolveOperationKey
from .keys import merge_record
from .messages import BeginAttempt, SetRouting
from .state import Adoption

# First version of the ledger's rules that records the credentials of requests without a tenant.
ADOPTION_RULES = 6
# Outlasts the operations of all requests that a daemon admitted before it honoured the change.
ADOPTION_RETENTION_MS = 7200000


def under_rules(op, rules):
    """Return the operation as these rules read it: older ones disregard credentials, as earlier builds do."""
    if rules >= ADOPTION_RULES:
        return op
    if isinstance(op, BeginAttempt | ClaimOperationKey | ResolveOperationKey | ReleaseOperationKey):
        return structs.replace(op, credential="") if op.credential else op
    if isinstance(op, SetRouting):
        return structs.replace(op, adopted=()) if op.adopted else op
    return op


def adopt(program_ledger, now_ms, adopted):
    """Give tenants the records of the credentials that they are the first to hold."""
    tenants = {credential: item.tenant for item in adopted for credential in item.credentials}
    if not tenants:
        return
    for credential, tenant in tenants.items():
        program_ledger.adoptions[credential] = Adoption(tenant, now_ms + ADOPTION_RETENTION_MS)
        heappush(program_ledger.expiries, (now_ms + ADOPTION_RETENTION_MS, "adoption", credential))
    adopt_keys(program_ledger, tenants)
    adopt_programs(program_ledger, tenants)
    adopt_turns(program_ledger, tenants)


def adopt_keys(program_ledger, tenants):
    """Move the operation keys of these credentials to their tenants."""
    adopted = [name for name, record in program_ledger.keys.items() if record.credential in tenants]
    for name in adopted:
        record = program_ledger.keys.pop(name)
        tenant, record.credential = tenants[record.credential], ""
        merge_record(program_ledger, scoped_id(tenant, name), record)


def adopt_programs(program_ledger, tenants):
    """Move the accounts of these credentials' programs to their tenants.

    The account of an attempt that belongs to no program ends with the attempt, so it stays.
    """
    renamed = {
        name: scoped_id(tenants[account.credential], name)
        for name, account in program_ledger.accounts.items()
        if account.credential in tenants and name not in program_ledger.attempts
    }
    for name, scoped_name in renamed.items():
        merge_account(program_ledger, scoped_name, program_ledger.accounts.pop(name))
    if not renamed:
        return
    for record in (*program_ledger.turns.values(), *program_ledger.attempts.values()):
        record.program = renamed.get(record.program, record.program)


def merge_account(program_ledger, name, account):
    """Add the account of a program; if there is one already, its tokens are added to that."""
    account.credential = ""
    existing = program_ledger.accounts.get(name)
    if existing is None:
        program_ledger.accounts[name] = account
        heappush(program_ledger.expiries, (account.touched_ms, "account", name))
        return
    existing.spent += account.spent
    existing.reserved += account.reserved
    existing.open += account.open
    existing.touched_ms = max(existing.touched_ms, account.touched_ms)


def adopt_turns(program_ledger, tenants):
    """Make turns, and attempts that may become turns, belong to the tenants of these credentials."""
    for record in (*program_ledger.turns.values(), *program_ledger.attempts.values()):
        if record.credential in tenants:
            record.tenant, record.credential = tenants[record.credential], ""


def expire_adoption(program_ledger, now_ms, credential):
    """Forget an adoption whose retention has passed."""
    adoption = program_ledger.adoptions.get(credential)
    if adoption is not None and adoption.until_ms <= now_ms:
        del program_ledger.adoptions[credential]
