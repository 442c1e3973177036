"""A simulated deployment whose configuration has tenants with keys; tests speak to it through HTTP alone."""

from twisted.internet.defer import Deferred

from fleet_simulator import stage
from fleet_simulator import world as worlds
from fleet_simulator.dial import dial
from fleet_simulator.http import events_of, write
from fleet_simulator.notes import Try, Version
from fleet_simulator.routes import first_document, make_route, paths_of

SEED = 5
TENANTS = {"tenant-a": ("key-a1", "key-a2"), "tenant-b": ("key-b1",)}
KEYLESS_PATH = "/open/x"
ROUTE_PATHS = {
    "safe": "/safe/x?q=1",
    "unsafe": "/unsafe/x",
    "idempotent": "/keyed/x",
    "streaming": "/free/x",
    "turn": "/chat/x",
}
MAX_TOKENS = 140
REQUEST_MS = 4000


def subscriber(name, keys):
    return {"name": name, "credentials": list(keys), "precedence": 1}


def tenant_document(tenants=None):
    document = first_document()
    document["route-table"] = [
        *(dict(route, keyless=False) for route in document["route-table"]),
        make_route("/open/", "safe", "tools", keyless=True),
    ]
    document["subscribers"] = [subscriber(name, keys) for name, keys in (tenants or TENANTS).items()]
    return document


def header_values(run, name):
    """Return the values of every header line with this name, in any letter case, that a runner received."""
    return [value for line_name, value in run.headers if line_name.strip().lower() == name]


class TenantDeployment:
    """Runs requests of tenants one by one against the edges of a deployment.

    document: the first configuration, that of `tenant_document` by default.
    """

    def __init__(self, document=None):
        self.world, self.operators, status, ready_ms = stage.open_(SEED, document=document or tenant_document())
        assert status == 200 and ready_ms >= 0
        self.crowd, self.serial = stage.crowd_of(self.world, "c"), 0

    def run_for(self, wait_ms):
        self.world.run(self.world.now_ms() + wait_ms)

    def new_id(self, prefix="t"):
        self.serial += 1
        return f"{prefix}{self.serial}"

    def request(self, path, key="key-a1", attempt=None, headers=(), body=b"input", operation_key="", **fields):
        """Build a request with the headers that the kind of its route asks for, then those given.

        key: the tenant's key; operation_key: the operation key.
        """
        lines = [] if key is None else [(b"Authorization", b"Bearer " + key.encode())]
        if path.startswith("/keyed/"):
            fields["key"] = operation_key or self.new_id("k")
        if path.startswith("/chat/") and not fields.get("program"):
            fields["program"] = self.new_id("p")
        if path.startswith(("/chat/", "/free/")):
            fields.setdefault("most", MAX_TOKENS)
        request = Try(attempt or self.new_id(), "unsafe", path, body, REQUEST_MS, lines, **fields)
        for name, value in (
            (b"X-Operation-Key", request.key),
            (b"X-Program-Id", request.program),
            (b"X-Session-Id", request.program and request.program + "s"),
            (b"X-Token-Budget", request.budget is not None and str(request.budget)),
            (b"X-Token-Count", request.most and f"100,{request.most}"),
            (b"X-Previous-Turn", request.previous),
        ):
            if value:
                lines.append((name, value.encode()))
        lines.extend(headers)
        return request

    def connect(self, edge=0):
        return stage.await_(self.world, dial(self.crowd, (self.edge_address(edge), worlds.FRONT)), 1000)

    def edge_address(self, edge):
        return self.world.of("edge")[edge].host.address

    def begin(self, path, key="key-a1", edge=0, connection=None, **options):
        """Send a request without waiting for its response, which `finish` waits for."""
        request = self.request(path, key, **options)
        request.sent_ms, request.edge = self.world.now_ms(), self.edge_address(edge)
        (connection or self.connect(edge)).start(request)
        return request

    def finish(self, request):
        until_ms = self.world.now_ms() + REQUEST_MS + 1000
        while request.ended_ms < 0 and self.world.now_ms() < until_ms:
            self.run_for(10)
        return request

    def send(self, path, key="key-a1", **options):
        return self.finish(self.begin(path, key, **options))

    def send_bytes(self, request, data, edge=0):
        """Send these bytes as a request and wait for its response."""
        connection = self.connect(edge)
        connection.current, connection.response = request, Deferred()
        connection.transport.write(data)
        return self.finish(request)

    def runs(self, request):
        """Return the runs at runners of a request, oldest first; those with its id and its own input."""
        return [
            run
            for run in self.world.notes.runs
            if run.try_id == request.try_id and run.at_ms >= request.sent_ms and run.body.endswith(request.body)
        ]

    def begin_modify(self, **change):
        """Send a change on top of the current configuration; returns the Deferred of the status of the response."""
        operator = self.operators[0]
        document = stage.await_(self.world, operator.read(), 5000)
        change = {"issue": document["issue"] + 1, **change}
        version = Version(change["issue"], document["issue"], paths_of(document), document, self.world.now_ms())
        return operator.change(version, "Modify", change, self.world.now_ms() + 5000)

    def modify(self, **change):
        """Change the configuration on top of the current one; returns the status of the response."""
        status = stage.await_(self.world, self.begin_modify(**change), 6000)
        self.run_for(self.world.notes.sheet["apply"])
        return status


def request_bytes(request, body=None, more=()):
    """Serialize a request; `body` replaces its body and length."""
    lines = [(b"Host", request.host.encode()), (b"X-Attempt-Id", request.try_id.encode()), *request.headers, *more]
    if body is None:
        lines.append((b"Content-Length", b"%d" % len(request.body)))
    data = request.body if body is None else body
    return write(f"{request.method} {request.uri} HTTP/1.1".encode(), lines, data)


def transcript(request):
    """Return a turn's input and the data of its events, as a following turn has to repeat them."""
    return request.body + b"".join(data + b"\n" for _, data in events_of(request.got)[0])
