"""Usage: when a request began to run at a runner, counted for its tenant.

A streamed request began with its first event, any other when it was written to its runner. Each run of a request at a
runner counts. A request that the runner refused without executing it, or that was never sent, does not; one whose
outcome is unknown does, since it may have run.
"""

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.usage_reports import add_request

from .outcomes import NotRun, NotSent


def count_first_event(agent, call):
    """Count a streamed request whose first event has just arrived."""
    if call.tenant:
        add_request(agent, call.tenant, now_ms(agent))


def count_plain_run(agent, exchange, outcome):
    """Count an exchange that has ended and was not streamed."""
    tenant = exchange.call.tenant
    if tenant and exchange.written_ms and not isinstance(outcome, NotSent | NotRun):
        add_request(agent, tenant, exchange.written_ms)
