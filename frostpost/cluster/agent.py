"""An edge or core daemon put together, from its settings to its end."""

from frostpost.daemon.frames import listen, make_links
from frostpost.daemon.polling import poll_until
from frostpost.daemon.structured_log import log_event
from frostpost.daemon.ticker import Ticker
from frostpost.turn_store import client as turn_store_client
from frostpost.virtual_synchrony.agent_messages import (
    BootstrapReply,
    BootstrapRequest,
    DirectoryReply,
    DirectoryRequest,
    GetBodiesReply,
    LeaseReply,
    OperationReply,
    PutBodyReply,
    RoutingUpdate,
)
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.messages import DiscoveryUpdate

from . import address_book, bootstrap, directory, lease_client, lease_waiters, operation_client, status
from .agent_context import AgentContext, now_ms

RING = "storage"
TEND_S = 0.05
LISTEN_RATIO = 0.35


def make_agent(settings, front, reactor, machine):
    """Build an agent from its settings and its front; nothing runs yet. -> AgentContext"""
    incarnation = 1 + int(machine.token(6), 16)
    endpoint = Endpoint(
        Member(settings.name, incarnation),
        settings.role,
        settings.zone,
        settings.host,
        settings.port,
        0,
        PROTOCOL_REVISION,
    )
    agent = AgentContext(settings, reactor, endpoint, machine)
    agent.wire = front.wire
    agent.links["send"] = make_links(agent)
    agent.extras["routing_from_body"] = front.routing_from_body
    agent.extras["fetch_list"] = lambda: front.fetch_list(agent)
    agent.extras["stops"] = []
    lease_client.session_of(agent)
    status.begin_status(agent)
    if settings.control:
        bootstrap.open_bootstrap(agent)
    if settings.data:
        agent.extras["peers"] = address_book.open_address_book(settings.data, machine)
    return agent


def on_frame(agent, frame):
    """A frame from any daemon."""
    endpoint, body = frame.endpoint, frame.body
    if status.answer_agent_status(agent, endpoint, body):
        return
    match body:
        case LeaseReply():
            if lease_client.on_lease_reply(agent, endpoint, body):
                operation_client.resend_all(agent)
            lease_waiters.wake_lease_waiters(agent)
            turn_store_client.recheck_puts(agent)
            if agent.ticker is not None:
                agent.ticker.wake(lease_client.due_ms(agent) - now_ms(agent))
        case OperationReply():
            operation_client.on_operation_reply(agent, body)
        case RoutingUpdate():
            lease_client.on_routing_update(agent, body)
            lease_waiters.wake_lease_waiters(agent)
        case PutBodyReply() | GetBodiesReply():
            turn_store_client.on_reply(agent, endpoint.member.name, body)
        case BootstrapRequest():
            bootstrap.on_bootstrap_request(agent, endpoint, body)
        case BootstrapReply():
            bootstrap.on_bootstrap_reply(agent, endpoint, body)
        case DirectoryReply():
            lease_client.on_directory(agent, body.endpoints)
            if endpoint.role == RING:
                lease_client.on_replica_greeting(agent, endpoint)
        case DirectoryRequest():
            if endpoint.role == RING:
                bootstrap.on_replica_waiting(agent, endpoint.member.name)
            elif not agent.directory:
                agent.extras.setdefault("askers", {})[endpoint.member.name] = endpoint
                return
            send_directory(agent, endpoint)
        case DiscoveryUpdate():
            lease_client.on_directory(agent, [endpoint])
            if body.endpoints or directory.is_update_due(agent, endpoint):
                agent.links["send"](lease_client.address_of(endpoint), directory.make_directory(agent, endpoint))
            for asker in agent.extras.pop("askers", {}).values():
                send_directory(agent, asker)


def send_directory(agent, endpoint):
    """Tell a daemon that asks where the replicas are."""
    agent.links["send"](lease_client.address_of(endpoint), directory.current(agent))


def run_due_work(agent):
    """Renew the lease, resend open operations, go on with the bootstrap: whatever is due now."""
    lease_client.renew_if_due(agent)
    if agent.extras.get("peers") and lease_client.holds_lease(agent):
        address_book.save_addresses(agent.extras["peers"], [f"{p.host}:{p.port}" for p in agent.directory.values()])
    operation_client.resend_due(agent)
    bootstrap.advance(agent)


def due_in_ms(agent):
    """How long `tend` will have nothing to do, unless something is asked meanwhile."""
    if bootstrap.is_pending(agent):
        return 0
    asked_ms, lease_ms = operation_client.due_ms(agent), lease_client.due_ms(agent)
    return (lease_ms if asked_ms is None else min(asked_ms, lease_ms)) - now_ms(agent)


def start_ticker(agent, stop):
    """Run `run_due_work` whenever something is due; a failure of it ends the daemon with status 70."""

    def broken(failure):
        log_event("Internal", type=failure.type.__name__, text=failure.getTraceback()[-2000:])
        stop(70)

    agent.ticker = Ticker(agent.reactor, TEND_S, lambda: run_due_work(agent), lambda: due_in_ms(agent), broken)
    agent.ticker.start()
    agent.tasks.append(agent.ticker)


def start_agent(agent, front, stop):
    """Listen for inner frames, then on the front; then look for replicas. A failure to listen ends with status 69."""

    def fallen(failure):
        log_event("ListenError", text=failure.getErrorMessage())
        stop(69)

    def up(ports):
        agent.extras["ports"] = ports
        for address in agent.extras["peers"].addresses if "peers" in agent.extras else ():
            agent.links["send"](f"@{address}", DirectoryRequest())
        start_ticker(agent, stop)
        if agent.settings.front and agent.settings.list_host:
            from frostpost.proxy import runner_discovery

            agent.extras["stops"].append(runner_discovery.poll(agent))
        log_event("started", name=agent.settings.name, role=agent.settings.role)

    listen(agent, on_frame).addCallback(lambda _: front.listen(agent)).addCallbacks(up, fallen)


def drain_agent(agent, stop):
    """Be unready, serve on until callers know, then end when nothing is under way."""
    if agent.leaving:
        return
    agent.leaving = True
    log_event("leaving", flights=agent.flights)
    grace_ms = agent.settings.grace_ms

    def last_call(_):
        agent.extras["last_call"] = True
        for port in agent.extras.get("ports", [])[:1]:
            port.stopListening()
        if agent.front is not None:
            agent.front.close_idle()
        return poll_until(agent, lambda: agent.flights == 0 and agent.calls == 0, int(grace_ms * 0.55))

    def over(_):
        log_event("left", flights=agent.flights)
        agent.reactor.callLater(0.1, stop, 0)

    wait_ms = int(grace_ms * LISTEN_RATIO) if agent.settings.front else 100
    poll_until(agent, lambda: False, wait_ms).addCallback(last_call).addCallback(over)
