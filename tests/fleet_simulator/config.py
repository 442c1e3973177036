"""CONFIG: which version may be in force where, judged from runs, answers and acknowledgements."""

from collections import Counter, defaultdict

from .judge import in_contact, prefix_of
from .notes import Violation


def may_hold(world, sent_ms, at_ms):
    """Versions that may be in force for a request sent and handled at these times."""
    versions = [v for v in world.notes.versions if v.valid]
    newest = max((v.issue for v in versions if 0 <= v.acked_ms <= sent_ms - world.notes.sheet["apply"]), default=0)
    return [v for v in versions if v.issue >= newest and v.sent_ms <= at_ms and not v.no]


def acknowledgements(world):
    bases = Counter(v.base for v in world.notes.versions if v.acked_ms >= 0)
    for base, count in bases.items():
        if count > 1:
            yield Violation("CONFIG", f"{count} changes on top of {base} were acknowledged")
    for version in world.notes.versions:
        if version.acked_ms >= 0 and not version.valid:
            yield Violation("CONFIG", f"{version.issue} is invalid and was acknowledged")


def handled(world, tries):
    for run in world.notes.runs:
        request = tries.get(run.try_id)
        if request is None:
            continue
        path = prefix_of(run.uri)
        held = may_hold(world, request.sent_ms, run.at_ms)
        if not any(run.service in v.paths.get(path, ()) for v in held):
            touch = "in touch" if in_contact(world, request.edge, run.at_ms) else "out of touch"
            yield Violation(
                "CONFIG",
                f"{run.try_id} {path} ran at {run.service} at {round(run.at_ms)}, sent {round(request.sent_ms)} "
                f"by {request.edge}, {touch}; versions {[(v.issue, v.paths.get(path)) for v in held]}",
            )
    for request in tries.values():
        path = prefix_of(request.uri)
        if request.status != 404 or path == "/chat/":
            continue
        held = may_hold(world, request.sent_ms, request.ended_ms)
        if held and all(path in v.paths for v in held):
            yield Violation(
                "CONFIG",
                f"{request.try_id} {path} got 404 from {request.edge} at {round(request.ended_ms)}; versions "
                f"{[v.issue for v in held]}",
            )


def reverts(world, tries):
    """A version's effect was seen, and later requests on that edge were handled by an older one only."""
    seen = defaultdict(list)
    for run in sorted(world.notes.runs, key=lambda r: r.at_ms):
        request = tries.get(run.try_id)
        if request is None:
            continue
        path = prefix_of(run.uri)
        fits = [v.issue for v in world.notes.versions if run.service in v.paths.get(path, ()) and not v.no and v.valid]
        if not fits:
            continue
        for at_ms, least in seen[request.edge]:
            life = max((m for m in lives(world, request.edge) if m <= run.at_ms), default=0)
            if at_ms >= life and request.sent_ms > at_ms + 250 and max(fits) < least:
                yield Violation(
                    "CONFIG", f"{request.edge} went back: {run.try_id} {path} at {run.service} after {least}"
                )
                break
        seen[request.edge].append((run.at_ms, min(fits)))
        seen[request.edge] = sorted(seen[request.edge], key=lambda s: -s[1])[:3]


def lives(world, address):
    return [at_ms for name, at_ms in world.starts if name == address]


def read_back(world, document):
    """What the operator reads at the end."""
    acked = [v for v in world.notes.versions if v.acked_ms >= 0]
    if document is None:
        yield Violation("LOST", "the configuration doesn't come")
        return
    newest = max((v.issue for v in acked), default=0)
    if document["issue"] < newest:
        yield Violation("LOST", f"version {newest} was acknowledged, {document['issue']} is read")
    sent = [v for v in world.notes.versions if v.issue == document["issue"] and v.valid and not v.no]
    tables = [{r["name"]: r for r in v.document["route-table"]} for v in sent]
    if {r["name"]: r for r in document["route-table"]} not in tables:
        yield Violation("CONFIG", f"version {document['issue']} is not what was sent under its number")
