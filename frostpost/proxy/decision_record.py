"""Logging and counting of requests that were refused, failed or aborted, with the reason and the time spent waiting."""

from msgspec import Struct, structs

from frostpost.cluster.agent_context import count, now_ms
from frostpost.daemon.structured_log import log_event

from .failures import AtWork, BadRequest, BudgetSpent, InvalidCredential, NoRoute

# Refusals caused by the request itself: counted, but not logged.
CLIENT_REFUSALS = (AtWork, BadRequest, BudgetSpent, InvalidCredential, NoRoute)


class DecisionRecord(Struct, frozen=True):
    """The log record of a request that was not served.

    route: route name, empty if none matched. outcome: type name of the failure, or "Aborted" for a response that was
    cut off. why: the reason given by the failure. elapsed_ms: time since arrival. lease_ms, order_ms, slot_ms: the
    parts of it spent waiting for a lease, for a ledger decision and for a runner slot, in milliseconds. previous: the
    attempt id of the turn that the request continues, empty if none.
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
    previous: str = ""


class RequestObserver:
    """Wraps the sink of one request and logs a DecisionRecord if the request is not served.

    Created by `serve.serve`, which sets `route` once the route is resolved.
    """

    __slots__ = ("agent", "call", "sink", "route")

    def __init__(self, agent, call, sink):
        self.agent, self.call, self.sink, self.route = agent, call, sink, ""

    def observed_sink(self):
        """Return a copy of the sink whose failure and abort callbacks are recorded."""
        return structs.replace(self.sink, fail=self.fail, abort=self.abort)

    def fail(self, failure):
        """Record a failure and pass it to the sink."""
        self._record(type(failure).__name__, getattr(failure, "why", ""), isinstance(failure, CLIENT_REFUSALS))
        self.sink.fail(failure)

    def abort(self):
        """Record an aborted response and abort it at the sink."""
        self._record("Aborted", "")
        self.sink.abort()

    def _record(self, outcome, why, is_client_refusal=False):
        call = self.call
        count(self.agent, f"not_served/{outcome}/{why}" if why else f"not_served/{outcome}")
        if is_client_refusal:
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
            call.previous_turn,
        )
        log_event("request_not_served", **structs.asdict(record))
