"""Faults injected into the product's code, each of which the invariant checks must detect."""

from msgspec import structs
from twisted.internet.defer import succeed

from frostpost.cluster import agent_sessions, control_client, lease_client, operation_server, voter_reconfiguration
from frostpost.platform import client_response, control, routing, runner_list
from frostpost.platform.server import reply
from frostpost.program_ledger import accepted_changes, adoption, keys, routing_versions, turns
from frostpost.program_ledger import apply as ledger
from frostpost.program_ledger.key_messages import ClaimOperationKey, KeyClaimed
from frostpost.program_ledger.messages import EndAttempt, ReadRouting, RoutingSet, SetRouting
from frostpost.proxy import exchange_state, forwarding, pool, serve, stream, turn
from frostpost.proxy.attempts import Attempts
from frostpost.proxy.failures import TimedOut, Unknown
from frostpost.proxy.outcomes import Broken
from frostpost.simulator.plants import patched_attributes
from frostpost.turn_store import repair
from frostpost.virtual_synchrony import catch_up, primary_component, recovery
from frostpost.virtual_synchrony.agent_messages import OperationReply


def end_unawaited():
    def end_attempt(agent, route, service, call, tokens, data, until_ms):
        keep_ms = route.retention_ms if route.retained else 0
        turn.submit_until_decided(agent, EndAttempt(call.attempt, tokens, retention_ms=keep_ms, size=len(data)))
        if keep_ms:
            turn.put(agent, call.attempt, data, 5000)
        return succeed(True)

    return [(turn, "end_attempt", end_attempt)]


def claim_skipped():
    def claim(program_ledger, now_ms, op, name):
        return KeyClaimed()

    return [(ledger, "KEY_HANDLERS", {**ledger.KEY_HANDLERS, ClaimOperationKey: claim})]


def keys_by_host():
    return [(keys, "record_name", lambda op, rules: op.key)]


def base_ignored():
    def set_routing(program_ledger, now_ms, op):
        if op.version > program_ledger.routing_version:
            program_ledger.routing_version, program_ledger.routing_body = op.version, op.body
            accepted_changes.record(program_ledger, now_ms, op.version, op.digest, op.retention_ms)
        return RoutingSet(op.version)

    return [(ledger, "HANDLERS", {**ledger.HANDLERS, SetRouting: set_routing})]


def lease_ignored():
    return [(module, "holds_lease", lambda agent: True) for module in (pool, lease_client)]


def chain_reversed():
    original = turn.fetch

    def fetch(agent, turns, wait_ms):
        return original(agent, tuple(reversed(turns)), wait_ms)

    return [(turn, "fetch", fetch)]


def drain_ignored():
    original = runner_list.parse_runner

    def parse_runner(entry):
        runner = original(entry)
        return runner and structs.replace(runner, draining=False)

    return [(runner_list, "parse_runner", parse_runner)]


def empty_budget_unbounded():
    return [(turn, "is_budget_empty", lambda call: False)]


def promise_broken():
    return [(client_response, "STATUS_BY_FAILURE", {**client_response.STATUS_BY_FAILURE, Unknown: 503, TimedOut: 503})]


def echo_unread():
    return [(exchange_state, "rejection_reason", lambda head, call, fresh: "")]


def cut_ended():
    return [(client_response.ClientResponse, "abort", lambda answer: answer.end())]


def resumed_always():
    original = stream.attempts_for

    def may_resume(route, state, outcome):
        return isinstance(outcome, Broken) and not state.diverged

    def attempts_for(route, repeatable):
        return original(route, True)

    return [(stream, "may_resume", may_resume), (stream, "attempts_for", attempts_for)]


def attempts_unbounded():
    def attempts_for(route, repeatable):
        return Attempts(9 if repeatable else 1, 9)

    return [(forwarding, "attempts_for", attempts_for), (stream, "attempts_for", attempts_for)]


def tokens_forgotten():
    original = turns.close_attempt

    def close(program_ledger, name, tokens):
        return original(program_ledger, name, 0)

    return [(turns, "close_attempt", close)]


def every_voter():
    def majorities(primary, present):
        return all(voter in present for voter in primary.voters)

    return [(module, "has_quorums", majorities) for module in (primary_component, recovery)]


def unordered_ack():
    """A change is acknowledged before it is ordered."""

    def set_routing(agent, base, version, body, digest, adopted, wait_ms):
        control_client.call_replicas_unleased(agent, SetRouting(base, version, body, digest, wait_ms, adopted), 50)
        return succeed(control_client.Ok(version))

    return [(control_client, "set_routing", set_routing)]


def lease_stretched():
    """A leader grants leases for longer than the majority of the voters granted its own."""
    return [(agent_sessions, "lease_remaining_ms", lambda synchrony, now_ms: 2 * synchrony.bounds.lease_ms)]


def leases_not_waited_out():
    """A new leader reports a routing version as honoured while leases of its predecessor are still valid."""
    original = agent_sessions.honoured_version

    def honoured(ctx, sessions):
        installed_ms, ctx.core.synchrony.installed_ms = ctx.core.synchrony.installed_ms, -(1 << 40)
        try:
            return original(ctx, sessions)
        finally:
            ctx.core.synchrony.installed_ms = installed_ms

    return [(agent_sessions, "honoured_version", honoured)]


def released_early():
    """A retiring replica is released before its data is replicated and before leases have expired."""

    def releasable_without_checks(ctx, changes):
        retiring, voters = ctx.core.ledger.program_ledger.retiring, voter_reconfiguration.voters_of(ctx)
        return [name for name, state in retiring.items() if state == "in_service" and name not in voters]

    return [(voter_reconfiguration, "releasable_replicas", releasable_without_checks)]


def fetched_in_rounds():
    """Missing bodies are requested only in periodic rounds."""
    return [(repair, "schedule_requests", lambda replica: None)]


def vote_kept():
    """A draining voter keeps its vote."""
    original = voter_reconfiguration.replica_view

    def view(ctx, changes, name, regions):
        return structs.replace(original(ctx, changes, name, regions), draining=False)

    return [
        (voter_reconfiguration, "is_dispensable_voter", lambda ctx, settings: False),
        (voter_reconfiguration, "replica_view", view),
    ]


def orders_forgotten():
    """An accepted change is not recognized when it is sent again."""
    return [(accepted_changes, "was_accepted", lambda program_ledger, version, digest: False)]


def orders_counted():
    """Only the last few accepted changes are recognized when sent again; older ones are refused."""
    return [
        (accepted_changes, "MAX_RETAINED_CHANGES", 64),
        (accepted_changes, "may_have_been_evicted", lambda program_ledger, version: False),
    ]


def read_from_copy():
    """A control daemon answers reads from its own copy of the configuration."""

    def handle_query(agent, request):
        reply(request, 200, routing.document_from_body(agent.routing_body))
        return succeed(None)

    return [(control, "handle_query", handle_query)]


def read_from_leader():
    """The leader answers a read from its own state without ordering it."""
    original = agent_sessions.on_operation_request

    def answer_directly(ctx, sessions, address, message):
        op = operation_server.decode_operation(message.payload)
        if not isinstance(op, ReadRouting):
            return original(ctx, sessions, address, message)
        outcome = routing_versions.read_routing(ctx.core.ledger.program_ledger, 0, op)
        return ctx.links["send"](
            address, OperationReply(message.incarnation, message.number, operation_server.encode(outcome))
        )

    return [(agent_sessions, "on_operation_request", answer_directly)]


PLANTS = {
    "end_unawaited": end_unawaited,
    "claim_skipped": claim_skipped,
    "keys_by_host": keys_by_host,
    "base_ignored": base_ignored,
    "lease_ignored": lease_ignored,
    "chain_reversed": chain_reversed,
    "drain_ignored": drain_ignored,
    "promise_broken": promise_broken,
    "echo_unread": echo_unread,
    "cut_ended": cut_ended,
    "resumed_always": resumed_always,
    "attempts_unbounded": attempts_unbounded,
    "tokens_forgotten": tokens_forgotten,
    "empty_budget_unbounded": empty_budget_unbounded,
    "every_voter": every_voter,
    "unordered_ack": unordered_ack,
    "orders_forgotten": orders_forgotten,
    "orders_counted": orders_counted,
    "read_from_copy": read_from_copy,
    "read_from_leader": read_from_leader,
}


def never_refilled():
    """A replica that restarts empty never requests the ledger entries it is missing."""
    return [(catch_up, "request_missing", lambda synchrony, out: None)]


COPY_PLANTS = {
    "never_refilled": never_refilled,
    "released_early": released_early,
    "fetched_in_rounds": fetched_in_rounds,
    "vote_kept": vote_kept,
}


def adoption_skipped():
    """What was done with a credential stays without a tenant once the credential becomes known."""
    return [(adoption, "adopt", lambda program_ledger, now_ms, adopted: None)]


def turns_not_adopted():
    """Turns made with a credential stay without a tenant once the credential becomes known."""
    return [(adoption, "adopt_turns", lambda program_ledger, tenants: None)]


def budgets_not_adopted():
    """Budgets spent with a credential stay without a tenant once the credential becomes known."""
    return [(adoption, "adopt_programs", lambda program_ledger, tenants: None)]


def former_holders_forgotten():
    """Ids of clients whose credential was removed have no tenant."""
    return [(serve, "id_scope_of", lambda routing, tenant, call: tenant.name)]


TENANT_PLANTS = {
    "adoption_skipped": adoption_skipped,
    "turns_not_adopted": turns_not_adopted,
    "budgets_not_adopted": budgets_not_adopted,
    "former_holders_forgotten": former_holders_forgotten,
}
LEASE_PLANTS = {"lease_stretched": lease_stretched, "leases_not_waited_out": leases_not_waited_out}


def planted(name):
    """Returns a context manager that injects the named fault; an empty name injects none."""
    return patched_attributes((PLANTS | COPY_PLANTS | LEASE_PLANTS | TENANT_PLANTS)[name]() if name else [])
