"""Operators that add, remove and return tenants and their credentials, and clients that use theirs throughout."""

from random import Random

from twisted.internet.defer import inlineCallbacks

from . import world as worlds
from .crowd import Crowd
from .notes import Version
from .routes import first_document, paths_of
from .stage import operator_of
from .tenants import KEYS, TenantCrowd, TenantsCrowd

OPERATOR_TAG = "t"
MIN_GAP_MS, MAX_GAP_MS, PATIENCE_MS = 300, 2500, 4000
KEYLESS_ODDS, REPLACE_ODDS = 0.85, 0.3


def keyless_document(tenants=()):
    """Return the first configuration: these tenants, or no subscribers at all, and routes that need no credential."""
    document = first_document()
    document["route-table"] = [dict(route, keyless=True) for route in document["route-table"]]
    if tenants:
        document["subscribers"] = [subscriber(name, KEYS[name]) for name in tenants]
    return document


class CredentialCrowd(TenantCrowd):
    """Clients of one tenant, whose ids differ from those of other tenants as they may share those without a tenant."""

    def new_key(self):
        """Return an operation key that no other tenant uses."""
        return Crowd.new_key(self)

    def program(self):
        """Run one program, which continues turns of its own tenant only."""
        return Crowd.program(self)


def subscriber(name, credentials):
    """Return a tenant as written in the document."""
    return {"name": name, "credentials": list(credentials), "precedence": 1}


def changed_subscribers(subscribers, random):
    """Draw one change of the tenants: add one with all of its credentials, or remove or return some of them."""
    current = {item["name"]: item["credentials"] for item in subscribers}
    missing = [name for name in KEYS if name not in current]
    partial = [name for name, keys in current.items() if len(keys) < len(KEYS[name])]
    full = [name for name, keys in current.items() if len(keys) > 1]
    action = random.choice(["add"] * len(missing) + ["return"] * len(partial) + ["revoke"] * len(full) + ["remove"])
    if action == "add" or not current:
        name = random.choice(missing)
        current[name] = list(KEYS[name])
    elif action == "return":
        name = random.choice(partial)
        current[name] = list(KEYS[name])
    elif action == "revoke":
        name = random.choice(full)
        current[name] = current[name][1:]
    else:
        del current[random.choice(list(current))]
    return [subscriber(name, keys) for name, keys in current.items()]


def with_other_tenants(document, random):
    """Return the document after a drawn change of its tenants and of the credentials that its routes require."""
    subscribers = changed_subscribers(document.get("subscribers", []), random)
    routes = [dict(route, keyless=random.random() < KEYLESS_ODDS) for route in document["route-table"]]
    changed = {**document, "route-table": routes, "subscribers": subscribers}
    if not subscribers and random.random() < 0.5:
        del changed["subscribers"]
    return changed


def modification(document, changed):
    """Return the `Modify` that turns one document into the other."""
    names = {item["name"] for item in changed["subscribers"]}
    removed = [item["name"] for item in document.get("subscribers", []) if item["name"] not in names]
    return {
        "issue": changed["issue"],
        "upsert": {"route-table": changed["route-table"], "subscribers": changed["subscribers"]},
        "remove": {"subscribers": removed},
    }


class ChangingTenantsCrowd(TenantsCrowd):
    """The clients of all tenants, and an operator that changes which credentials are known."""

    def __init__(self, world, tag):
        self.crowds = [
            CredentialCrowd(
                world.callers,
                world.notes,
                Random(f"{world.seed}{tag}{tenant}"),
                lambda zone: worlds.fronts(world, zone),
                world.zones,
                f"{tag}{tenant}",
                tenant=tenant,
                others=(),
            )
            for tenant in KEYS
        ]
        self.host, self.notes, self.now_ms = world.callers, world.notes, self.crowds[0].now_ms
        self.operator, self.random = operator_of(world, OPERATOR_TAG), Random(f"{world.seed}tenants")
        self.changes_tenants = True

    def arrive(self, until_ms, gap_ms):
        """Start programs until `until_ms`; the first time, also change the tenants until then."""
        super().arrive(until_ms, gap_ms)
        if self.changes_tenants:
            self.changes_tenants = False
            self.change_tenants(until_ms)

    @inlineCallbacks
    def change_tenants(self, until_ms):
        """Change the tenants again and again; a change that loses its race is drawn anew."""
        while self.now_ms() < until_ms:
            document = yield self.operator.read(until_ms)
            if document is not None:
                yield self.change(document)
            yield self.operator.pause(self.random.uniform(MIN_GAP_MS, MAX_GAP_MS) / 1000)

    def change(self, document):
        """Send a drawn change on top of a document. Returns a Deferred of its status."""
        changed = dict(with_other_tenants(document, self.random), issue=document["issue"] + 1)
        version = Version(changed["issue"], document["issue"], paths_of(changed), changed, self.now_ms())
        until_ms = self.now_ms() + PATIENCE_MS
        if "subscribers" not in changed or self.random.random() < REPLACE_ODDS:
            return self.operator.change(version, "Replace", changed, until_ms)
        return self.operator.change(version, "Modify", modification(document, changed), until_ms)
