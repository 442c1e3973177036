"""Clients of several tenants that use the same program ids and operation keys, and the invariants of their keys."""

from random import Random

from . import world as worlds
from .config import may_hold
from .crowd import MOST_TOKENS, Crowd
from .notes import Violation
from .routes import first_document

KEYS = {"tenant-a": ("key-a1", "key-a2"), "tenant-b": ("key-b1",), "tenant-c": ("key-c1",)}
FORGED = b"tenant-forged"


def tenant_document():
    """Return the first configuration with the tenants of `KEYS`."""
    tenants = [{"name": name, "credentials": list(keys), "precedence": 1} for name, keys in KEYS.items()]
    return dict(first_document(), subscribers=tenants)


class TenantCrowd(Crowd):
    """Clients of one tenant; its programs and operation keys have the names that every tenant uses."""

    def __init__(self, *args, tenant, others):
        super().__init__(*args)
        self.tenant, self.others, self.key_count = tenant, others, 0

    def make(self, path, program, **more):
        """Return a request with one of the tenant's keys, at times with a subscriber that the client names."""
        request = super().make(path, program, **more)
        request.tenant = self.tenant
        key = self.random.choice(KEYS[self.tenant])
        request.headers.append((b"Authorization", b"Bearer " + key.encode()))
        if self.random.random() < 0.2:
            request.headers.append((self.random.choice((b"X-Subscriber", b"x-subscriber")), FORGED))
        return request

    def new_key(self):
        """Return the operation key that each tenant uses next."""
        self.key_count += 1
        return f"k{self.key_count}"

    def program(self):
        """Run one program, at times after a turn that names another tenant's."""
        turns = [turn for other in self.others for turn in other.turns[-20:] if other is not self]
        if turns and self.random.random() < 0.2:
            request = self.make("/chat/x", "stranger", previous=self.random.choice(turns).try_id, most=MOST_TOKENS)
            self.once(self.random.choice(self.zones), request)
        return super().program()


class TenantsCrowd:
    """The clients of all tenants."""

    def __init__(self, world, tag):
        self.crowds = []
        for tenant in KEYS:
            self.crowds.append(
                TenantCrowd(
                    world.callers,
                    world.notes,
                    Random(f"{world.seed}{tag}{tenant}"),
                    lambda zone: worlds.fronts(world, zone),
                    world.zones,
                    tag,
                    tenant=tenant,
                    others=self.crowds,
                )
            )
        self.host, self.notes, self.now_ms = world.callers, world.notes, self.crowds[0].now_ms

    def arrive(self, until_ms, gap_ms):
        """Start programs of every tenant until `until_ms`, together `gap_ms` apart on average."""
        for crowd in self.crowds:
            crowd.arrive(until_ms, gap_ms * len(self.crowds))


def holders_of(document):
    """Return the names of a document's tenants by the `Authorization` header of their credentials."""
    return {
        b"Bearer " + key.encode(): item["name"].encode()
        for item in document.get("subscribers", ())
        for key in item["credentials"]
    }


def wrong_tenants(world, tries):
    """UNASKED: a runner was shown a client's key, or another subscriber than the tenant that holds the key.

    None is shown if a version may be in force in which no tenant holds it.
    """
    for run in world.notes.runs:
        request = tries.get(run.try_id)
        if request is None or not request.tenant:
            continue
        credential = dict(request.headers)[b"Authorization"]
        holders = [holders_of(v.document).get(credential) for v in may_hold(world, request.sent_ms, run.at_ms)]
        names = [value for name, value in run.headers if name.lower() == b"x-subscriber"]
        if names not in [[holder] if holder else [] for holder in holders]:
            yield Violation("UNASKED", f"{run.try_id} {run.uri} of {request.tenant} ran for {names}")
        if any(name.lower() == b"authorization" for name, _ in run.headers):
            yield Violation("UNASKED", f"{run.try_id} {run.uri} showed its key to {run.runner}")
