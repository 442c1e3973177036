"""Versions of configuration documents: compare-and-set, and the last `PAST` versions of each."""

from .entities import ConfigVersion
from .operations import Change
from .programs import stale_config
from .results import ConfigSet, ManySet, StaleConfig

RETAINED_VERSIONS = 10
REMOVED_DIGEST = ""
ALL_DOCUMENTS = "*"


def current_version(ledger, path):
    """Return the current version of a document, 0 if there is none."""
    mark = ledger.configs.get(path)
    return mark.version if mark and mark.digest != REMOVED_DIGEST else 0


def version_conflict(ledger, path, if_version):
    """Return StaleConfig if a document is not at the version that the caller expects, else None."""
    version = current_version(ledger, path)
    return StaleConfig(path, version) if version != if_version else None


def record_version(ledger, entry, change):
    """Record a new version of a document and return its number."""
    before = ledger.configs.get(change.path)
    version = (before.version if before else 0) + 1
    mark = ConfigVersion(version, change.digest, change.size, change.source, change.number, entry.index)
    ledger.configs[change.path] = mark
    ledger.config_index = entry.index
    if ledger.rules >= 2:
        ledger.past[change.path] = [*ledger.past.get(change.path, ()), mark][-RETAINED_VERSIONS:]
    return version


def set_document(ledger, entry, op):
    """Change one document, if it and the documents it was checked against are unchanged."""
    error = version_conflict(ledger, op.path, op.if_version) or stale_config(ledger, op.bases)
    if error:
        return error
    change = Change(op.path, op.digest, op.size, op.if_version, op.source, op.number)
    return ConfigSet(record_version(ledger, entry, change), entry.index)


def set_documents(ledger, entry, op):
    """Change several documents as one, if nothing changed since the caller read them."""
    if op.index != ledger.config_index:
        return StaleConfig(ALL_DOCUMENTS, ledger.config_index)
    for change in op.changes:
        error = version_conflict(ledger, change.path, change.if_version)
        if error:
            return error
    versions = tuple((c.path, record_version(ledger, entry, c)) for c in op.changes)
    return ManySet(versions, entry.index)
