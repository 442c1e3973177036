"""State of the program ledger, which holds programs as trees of turns; changed only by `apply`."""

from msgspec import Struct, field

from frostpost.virtual_synchrony.task_messages import TenantRequests

from .messages import NoTurn, TokensSpent


class Turn(Struct, array_like=True):
    """A completed turn; `tokens` counts its prompt and output, which its runner may still have cached.

    `credential` is the one it was made with while no tenant holds it, `tenant` the one that adopted it.
    """

    program: str
    previous: str
    kept_until_ms: int
    runner: str = ""
    tokens: int = 0
    credential: str = ""
    tenant: str = ""


class Attempt(Struct, array_like=True):
    """An open attempt.

    `until_ms` is when it stops occupying its runner, `placed` whether it occupies it now, `moves` the number of its
    last reassignment; `credential` and `tenant` as in `Turn`.
    """

    program: str
    amount: int
    previous: str
    runner: str
    until_ms: int
    prompt_tokens: int = 0
    placed: bool = True
    moves: int = 0
    credential: str = ""
    tenant: str = ""


class Account(Struct, array_like=True):
    """Token budget of a program: `spent` by ended attempts, `reserved` for the `open` ones.

    `credential` is the one it was opened with while no tenant holds it.
    """

    budget: int
    spent: int = 0
    reserved: int = 0
    touched_ms: int = 0
    open: int = 0
    credential: str = ""


class OperationKey(Struct, array_like=True):
    """An operation key: the attempt that owns it, the end of its window, and its answer once there is one.

    `credential` is the one it was claimed with while no tenant holds it.
    """

    attempt: str
    until_ms: int
    answer: bytes = b""
    answered: bool = False
    credential: str = ""


class RunnerUse(Struct, array_like=True):
    """Use of a runner: active attempts, and cached prompt parts with their tokens, least recently used first."""

    active: int = 0
    parts: dict[str, int] = {}
    tokens: int = 0
    used_ms: int = 0


class AcceptedChange(Struct, array_like=True):
    """An accepted change of the routing: its digest and the end of its retention."""

    digest: bytes
    until_ms: int


class Adoption(Struct, array_like=True):
    """The tenant that was the first to hold a credential, and the end of the adoption's retention."""

    tenant: str
    until_ms: int


class TaskLease(Struct, array_like=True):
    """The lease of a task's subject; its fencing token rises with each change of the owner."""

    owner: str
    fence: int
    until_ms: int


class OrderedCapacity(Struct, array_like=True):
    """The wanted number of runners of a service in a zone; `number` counts the changes of it."""

    service: str
    zone: str
    desired: int
    number: int
    reported: bool = False


class PlatformTasks(Struct, array_like=True):
    """Tasks at the platform and the leases under which daemons run them (see `task_leases`).

    `leases` by kind and subject; `last_fence` is the highest fencing token of all; `windows` holds the usage of the
    windows that are closed and not reported, oldest first; windows up to `closed_window` are closed; `capacities` by
    service and zone.
    """

    leases: dict[str, TaskLease] = {}
    last_fence: int = 0
    windows: dict[int, tuple[TenantRequests, ...]] = {}
    closed_window: int = 0
    capacities: dict[str, OrderedCapacity] = {}
    last_order: int = 0


class ProgramLedger(Struct, array_like=True):
    """Turns, attempts, accounts, operation keys, runners, routing and adopted credentials.

    `tombs` holds the expiry of the tombstones of ended attempts, `refused` the results of refused attempts, `taken` the
    accepted changes of the routing by version, oldest first (see `accepted_changes`).
    """

    turns: dict[str, Turn] = {}
    attempts: dict[str, Attempt] = {}
    accounts: dict[str, Account] = {}
    keys: dict[str, OperationKey] = {}
    runners: dict[str, RunnerUse] = {}
    tombs: dict[str, int] = {}
    refused: dict[str, TokensSpent | NoTurn] = {}
    routing_version: int = 0
    routing_body: bytes = b""
    retiring: dict[str, str] = {}
    expiries: list[tuple[int, str, str]] = []
    taken: dict[int, AcceptedChange] = {}
    forgotten_version: int = 0
    tasks: PlatformTasks = field(default_factory=PlatformTasks)
    adoptions: dict[str, Adoption] = {}
