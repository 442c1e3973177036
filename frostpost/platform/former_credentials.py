"""Credentials that earlier configurations held, by which ids of clients on keyless routes stay those of their tenant.

A client whose credential was removed may still use a keyless route. Its operation keys, turns and programs are kept
under the tenant that held the credential, so the stored body also names the holders of removed credentials.
"""

# The oldest are forgotten beyond this number, which bounds what each change stores.
MAX_FORMER_CREDENTIALS = 1024


def former_holders(previous: dict[str, str], current: dict[str, str], after: dict[str, str]) -> dict[str, str]:
    """Return the holders of the credentials that are no longer known after a change, oldest first.

    All three map the digest of a credential to the name of its tenant: those known before `current`, those of the
    configuration that is changed, and those of the one after it.
    """
    former = {digest: name for digest, name in previous.items() if digest not in current}
    former |= current
    unknown = [(digest, name) for digest, name in former.items() if digest not in after]
    return dict(unknown[-MAX_FORMER_CREDENTIALS:])
