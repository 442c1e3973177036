"""Versions of configuration documents: compare-and-set, with the last RETAINED_VERSIONS versions of each."""

from .entities import ConfigVersion
from .operations import Change
from .programs import stale_config
from .results import ConfigSet, ManySet, StaleConfig

RETAINED_VERSIONS = 10
REMOVED_DIGEST = ""
ALL_DOCUMENTS = "*"


def current_version(ledger, path):
    """Return the current version number of a document, 0 if it does not exist."""
    current = ledger.configs.get(path)
    return current.version if current and current.digest != REMOVED_DIGEST else 0


def version_conflict(ledger, path, if_version):
    """Return StaleConfig if a document is not at the expected version, else None."""
    version = current_version(ledger, path)
    return StaleConfig(path, version) if version != if_version else None


def record_version(ledger, entry, change):
    """Record a new version of a document and return its version number."""
    previous = ledger.configs.get(change.path)
    number = (previous.version if previous else 0) + 1
    version = ConfigVersion(number, change.digest, change.size, change.source, change.number, entry.index)
    ledger.configs[change.path] = version
    ledger.config_index = entry.index
    if ledger.rules >= 2:
        ledger.past[change.path] = [*ledger.past.get(change.path, ()), version][-RETAINED_VERSIONS:]
    return number


def set_document(ledger, entry, op):
    """Set one document, if it and the documents it was validated against are unchanged."""
    error = version_conflict(ledger, op.path, op.if_version) or stale_config(ledger, op.bases)
    if error:
        return error
    change = Change(op.path, op.digest, op.size, op.if_version, op.source, op.number)
    return ConfigSet(record_version(ledger, entry, change), entry.index)


def set_documents(ledger, entry, op):
    """Set several documents atomically, if no document has changed since the caller read them."""
    if op.index != ledger.config_index:
        return StaleConfig(ALL_DOCUMENTS, ledger.config_index)
    for change in op.changes:
        error = version_conflict(ledger, change.path, change.if_version)
        if error:
            return error
    versions = tuple((c.path, record_version(ledger, entry, c)) for c in op.changes)
    return ManySet(versions, entry.index)
