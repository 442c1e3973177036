"""Records of the requests, executions, configuration changes and faults of a simulated day."""

from msgspec import Struct

NEVER_MS = 1e12


class Violation(Struct, frozen=True):
    """A violated invariant. rule: identifier of the invariant; text: description of the case."""

    rule: str
    text: str


class Try(Struct):
    """One attempt of a client to send a request, and its response."""

    try_id: str
    kind: str
    uri: str
    body: bytes
    left_ms: int
    headers: list
    host: str = "h.example"
    method: str = "POST"
    edge: str = ""
    sent_ms: float = 0.0
    written_ms: float = -1.0
    dialled_ms: float = -1.0
    ended_ms: float = -1.0
    status: int = 0
    seal: str = ""
    echo: str = ""
    retry_ms: float = 0.0
    got: bytes = b""
    whole: bool = False
    why: str = ""
    key: str = ""
    program: str = ""
    previous: str = ""
    budget: int | None = None
    most: int = 0
    last_event: str = ""
    tenant: str = ""


class Run(Struct):
    """The execution of a request by a runner.

    pieces: data of the events produced; done: the complete response was sent; broke: the runner aborted it; headers:
    the header lines of the request as received, in order.
    """

    try_id: str
    runner: str
    service: str
    at_ms: float
    method: str
    uri: str
    body: bytes
    seal: str
    key: str = ""
    previous: str = ""
    last_event: str = ""
    came_ms: float = 0.0
    status: int = 200
    pieces: list = []
    first: int = 1
    total: int = 0
    answer: bytes = b""
    done: bool = False
    over: bool = False
    broke: bool = False
    headers: list[tuple[bytes, bytes]] = []


class Version(Struct):
    """A configuration change sent by an operator.

    paths: services by path prefix in the resulting configuration; no: status of the refusal; unclear: number of
    inconclusive calls.
    """

    issue: int
    base: int
    paths: dict
    document: dict
    sent_ms: float
    acked_ms: float = -1.0
    no: int = 0
    unclear: int = 0
    valid: bool = True


class ControlCall(Struct):
    """One call of an operator to one daemon; it stays open until its response arrives.

    version: the change it carries, or None; document: the configuration it returned.
    """

    name: str
    daemon: str
    sent_ms: float
    version: Version | None = None
    ended_ms: float = NEVER_MS
    status: int = 0
    retry_ms: float = 0.0
    document: dict | None = None


class Trouble(Struct):
    """An injected fault or planned work, and the names of the daemons concerned."""

    kind: str
    names: tuple
    from_ms: float
    until_ms: float = 1e12


class Isolation(Struct):
    """A partition between one edge and all storage daemons; clients and runners still reach the edge."""

    edge: str
    from_ms: float
    until_ms: float


class Notes:
    """Everything recorded in one simulated day.

    sheet: the deployment's time limits in ms, by name; shown: (at_ms, runner id, state) for each change of the list;
    refusals: (try id, runner id) for each request that a runner refused without executing it.
    """

    def __init__(self, sheet):
        self.sheet, self.tries, self.runs, self.versions, self.troubles = sheet, [], [], [], []
        self.shown, self.strays, self.away, self.held, self.marks, self.lives = [], [], [], None, [], []
        self.list_troubles, self.tap, self.control_calls = [], lambda request: None, []
        self.refusals = []
        self.isolations, self.acknowledged_by, self.on_acknowledged = [], "", lambda control: None

    def end_isolations(self, now_ms):
        """End all partitions, because they are healed or a reachable storage daemon was added."""
        for isolation in self.isolations:
            isolation.until_ms = min(isolation.until_ms, now_ms)

    def acknowledged(self, control):
        """Record an acknowledgement by the daemon at the address `control`."""
        self.acknowledged_by = control
        self.on_acknowledged(control)

    def add_version(self, version):
        """Record a change, once even if it is sent repeatedly."""
        if not any(known is version for known in reversed(self.versions)):
            self.versions.append(version)
