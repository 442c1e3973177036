from .programs import stale
from .words import Change, ConfigSet, ManySet, Mark, StaleConfig

PAST = 10
REMOVED = ""
ALL = "*"


def held(granary, path):
    mark = granary.configs.get(path)
    return mark.version if mark and mark.digest != REMOVED else 0


def moved(granary, path, ifVersion):
    version = held(granary, path)
    return StaleConfig(path, version) if version != ifVersion else None


def lay(granary, entry, change):
    before = granary.configs.get(change.path)
    version = (before.version if before else 0) + 1
    mark = Mark(version, change.digest, change.size, change.source, change.number, entry.index)
    granary.configs[change.path] = mark
    granary.configIndex = entry.index
    if granary.rules >= 2:
        granary.past[change.path] = [*granary.past.get(change.path, ()), mark][-PAST:]
    return version


def one(granary, entry, op):
    fault = moved(granary, op.path, op.ifVersion) or stale(granary, op.bases)
    if fault:
        return fault
    change = Change(op.path, op.digest, op.size, op.ifVersion, op.source, op.number)
    return ConfigSet(lay(granary, entry, change), entry.index)


def many(granary, entry, op):
    if op.index != granary.configIndex:
        return StaleConfig(ALL, granary.configIndex)
    for change in op.changes:
        fault = moved(granary, change.path, change.ifVersion)
        if fault:
            return fault
    versions = tuple((c.path, lay(granary, entry, c)) for c in op.changes)
    return ManySet(versions, entry.index)
