"""What is told of a request that was refused, failed or cut: who decided it, and what it had waited for."""

from msgspec import Struct, structs

from frostpost.cluster.agent_context import count, now_ms
from frostpost.daemon.structured_log import log_event

from .failures import AtWork, BadRequest, BudgetSpent, NoRoute

# Refusals that the request itself asked for: counted, not logged.
IN_ORDER = (AtWork, BadRequest, BudgetSpent, NoRoute)


class DecisionRecord(Struct, frozen=True):
    """One request that was not answered in order.

    route: its name, empty where none was found. outcome: the type of its failure, or "Aborted" for an answer that
    was broken off. why: the failure's own reason. elapsed_ms: from its arrival; the others: how much of that it waited
    for a lease, for the order and for a slot, in milliseconds.
    """

    attempt: str
    program: str
    route: str
    outcome: str
    why: str
    elapsed_ms: int
    lease_ms: int
    order_ms: int
    slot_ms: int


class RequestObserver:
    """Stands before the sink of one request and logs a DecisionRecord where it isn't answered in order.

    Made by `serve.serve`, which also names the route once it is found; lives as long as the request.
    """

    __slots__ = ("agent", "call", "sink", "route")

    def __init__(self, agent, call, sink):
        self.agent, self.call, self.sink, self.route = agent, call, sink, ""

    def observed_sink(self):
        """The request's sink, whose refusals and cuts are recorded."""
        return structs.replace(self.sink, failed=self.failed, cut=self.aborted)

    def failed(self, failure):
        """Record a failure, and hand it on."""
        self._record(type(failure).__name__, getattr(failure, "why", ""), isinstance(failure, IN_ORDER))
        self.sink.failed(failure)

    def aborted(self):
        """Record an answer that is broken off, and hand that on."""
        self._record("Aborted", "")
        self.sink.cut()

    def _record(self, outcome, why, in_order=False):
        call = self.call
        count(self.agent, f"not_served/{outcome}/{why}" if why else f"not_served/{outcome}")
        if in_order:
            return
        record = DecisionRecord(
            call.attempt,
            call.program,
            self.route,
            outcome,
            why,
            now_ms(self.agent) - call.started_ms,
            call.delays.lease_ms,
            call.delays.order_ms,
            call.delays.slot_ms,
        )
        log_event("request_not_served", **structs.asdict(record))
