"""What clients, runners, the operator and the platform have seen on their sockets."""

from msgspec import Struct

NEVER_MS = 1e12


class Broken(Struct, frozen=True):
    rule: str
    text: str


class Try(Struct):
    """One request of a client and what came back."""

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
    budget: int = 0
    most: int = 0
    last_event: str = ""


class Run(Struct):
    """A request that a runner began to work on. pieces: data of the events made; done: the answer was
    sent whole; broke: the runner itself broke off."""

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


class Version(Struct):
    """A change that an operator sent. paths: prefix -> services of the whole configuration under it."""

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
    """One call of an operator at one daemon, open to the end while it has no clear answer. version: the change that it
    carried, None for others; document: the configuration that was read."""

    name: str
    daemon: str
    sent_ms: float
    version: Version | None = None
    ended_ms: float = NEVER_MS
    status: int = 0
    retry_ms: float = 0.0
    document: dict | None = None


class Trouble(Struct):
    kind: str
    names: tuple
    from_ms: float
    until_ms: float = 1e12


class Isolation(Struct):
    """An edge that no storage machine hears or reaches, while clients and runners do."""

    edge: str
    from_ms: float
    until_ms: float


class Notes:
    """sheet: the deployment's figures in ms. shown: (at_ms, runner id, state) as the list came to show it."""

    def __init__(self, sheet):
        self.sheet, self.tries, self.runs, self.versions, self.troubles = sheet, [], [], [], []
        self.shown, self.strays, self.away, self.held, self.marks, self.lives = [], [], [], None, [], []
        self.list_troubles, self.tap, self.control_calls = [], lambda request: None, []
        self.isolations, self.acknowledged_by, self.on_acknowledged = [], "", lambda control: None

    def end_isolations(self, now_ms):
        """All cuts are over, or a storage machine has come that none of them holds off."""
        for alone in self.isolations:
            alone.until_ms = min(alone.until_ms, now_ms)

    def acknowledged(self, control):
        """A change was acknowledged by the daemon at this address."""
        self.acknowledged_by = control
        self.on_acknowledged(control)

    def add_version(self, version):
        """Note a change that is sent, once however often that is."""
        if not any(known is version for known in reversed(self.versions)):
            self.versions.append(version)
