"""Assembly, message dispatch, periodic work and drain of an edge or core daemon."""

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
from frostpost.virtual_synchrony.task_messages import UsageReply

from . import (
    address_store,
    bootstrap,
    bootstrap_copies,
    bootstrap_record,
    directory,
    lease_client,
    lease_waiters,
    operation_client,
    status,
    task_client,
    usage_reports,
)
from .agent_context import AgentContext, now_ms

STORAGE_ROLE = "storage"
TICK_INTERVAL_S = 0.05
LISTEN_GRACE_RATIO = 0.35


def make_agent(settings, front, reactor, machine):
    """Returns an AgentContext built from the settings and the front; nothing is started yet."""
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
    agent.attachments["routing_from_body"] = front.routing_from_body
    agent.attachments["call_task"] = front.call_task
    agent.attachments["fetch_list"] = lambda: front.fetch_list(agent)
    agent.attachments["stops"] = []
    lease_client.session_of(agent)
    status.begin_status(agent)
    if settings.control:
        bootstrap_record.open_bootstrap(agent)
    if settings.data:
        agent.attachments["peers"] = address_store.open_address_store(settings.data, machine)
    return agent


def on_frame(agent, frame):
    """Dispatch a frame from another daemon."""
    endpoint, body = frame.endpoint, frame.body
    if status.answer_agent_status(agent, endpoint, body):
        return
    match body:
        case LeaseReply():
            if lease_client.on_lease_reply(agent, endpoint, body):
                operation_client.resend_all(agent)
            on_grant(agent, endpoint, body)
            lease_waiters.wake_lease_waiters(agent)
            turn_store_client.recheck_puts(agent)
            if agent.ticker is not None:
                agent.ticker.wake(lease_client.due_ms(agent) - now_ms(agent))
        case OperationReply():
            operation_client.on_operation_reply(agent, body)
        case UsageReply():
            usage_reports.on_usage_reply(agent, body)
        case RoutingUpdate():
            lease_client.on_routing_update(agent, body)
            lease_waiters.wake_lease_waiters(agent)
        case PutBodyReply() | GetBodiesReply():
            turn_store_client.on_reply(agent, endpoint.member.name, body)
        case BootstrapRequest():
            bootstrap_copies.on_bootstrap_request(agent, endpoint, body)
        case BootstrapReply():
            bootstrap.on_bootstrap_reply(agent, endpoint, body)
        case DirectoryReply():
            lease_client.on_directory(agent, body.endpoints)
            if endpoint.role == STORAGE_ROLE:
                lease_client.on_replica_announcement(agent, endpoint)
        case DirectoryRequest():
            if endpoint.role == STORAGE_ROLE:
                bootstrap.on_replica_waiting(agent, endpoint.member.name)
            elif not agent.directory:
                agent.attachments.setdefault("askers", {})[endpoint.member.name] = endpoint
                return
            send_directory(agent, endpoint)
        case DiscoveryUpdate():
            lease_client.on_directory(agent, [endpoint])
            if body.endpoints or directory.is_update_due(agent, endpoint):
                agent.links["send"](lease_client.address_of(endpoint), directory.make_directory(agent, endpoint))
            for requester in agent.attachments.pop("askers", {}).values():
                send_directory(agent, requester)


def on_grant(agent, endpoint, grant):
    """Handle what a lease reply of the sequencer says about platform tasks and usage."""
    if grant.sequencer != endpoint.member.name or not agent.settings.platform_tasks:
        return
    usage_reports.on_closed(agent, grant.closed)
    usage_reports.report_if_due(agent)
    task_client.on_task_offers(agent, grant.task_offers)


def send_directory(agent, endpoint):
    """Send the known replicas to the daemon that requested them."""
    agent.links["send"](lease_client.address_of(endpoint), directory.current(agent))


def run_due_work(agent):
    """Renew the lease, resend pending operations and advance the bootstrap, each if it is due."""
    lease_client.renew_if_due(agent)
    if agent.attachments.get("peers") and lease_client.holds_lease(agent):
        address_store.save_addresses(
            agent.attachments["peers"], [f"{e.host}:{e.port}" for e in agent.directory.values()]
        )
    operation_client.resend_due(agent)
    usage_reports.report_if_due(agent)
    bootstrap.advance(agent)


def due_in_ms(agent):
    """Milliseconds until `run_due_work` next has something to do."""
    if bootstrap.is_pending(agent):
        return 0
    due_ms = (lease_client.due_ms(agent), operation_client.due_ms(agent), usage_reports.due_ms(agent))
    return min(at_ms for at_ms in due_ms if at_ms is not None) - now_ms(agent)


def start_ticker(agent, stop):
    """Run `run_due_work` whenever something is due; an error in it ends the daemon with status 70."""

    def on_job_failure(failure):
        log_event("Internal", type=failure.type.__name__, text=failure.getTraceback()[-2000:])
        stop(70)

    agent.ticker = Ticker(
        agent.reactor, TICK_INTERVAL_S, lambda: run_due_work(agent), lambda: due_in_ms(agent), on_job_failure
    )
    agent.ticker.start()
    agent.tasks.append(agent.ticker)


def start_agent(agent, front, stop):
    """Listen for inner frames, then on the front, then look for replicas; a failed listen ends with status 69."""

    def on_listen_failure(failure):
        log_event("ListenError", text=failure.getErrorMessage())
        stop(69)

    def on_listening(ports):
        agent.attachments["ports"] = ports
        for address in agent.attachments["peers"].addresses if "peers" in agent.attachments else ():
            agent.links["send"](f"@{address}", DirectoryRequest())
        start_ticker(agent, stop)
        if agent.settings.front and agent.settings.list_host:
            from frostpost.proxy import runner_discovery, service_demand

            agent.attachments["stops"].append(runner_discovery.poll(agent))
            agent.attachments["service_demand"] = lambda: service_demand.demand_report(agent)
        log_event("started", name=agent.settings.name, role=agent.settings.role)

    listen(agent, on_frame).addCallback(lambda _: front.listen(agent)).addCallbacks(on_listening, on_listen_failure)


def drain_agent(agent, stop):
    """Report not ready, serve on until callers have noticed, stop listening, then end once all requests are done."""
    if agent.draining:
        return
    agent.draining = True
    log_event("leaving", flights=agent.requests_in_flight)
    grace_ms = agent.settings.grace_ms

    def stop_accepting(_):
        agent.attachments["last_call"] = True
        for port in agent.attachments.get("ports", [])[:1]:
            port.stopListening()
        if agent.front is not None:
            agent.front.close_idle()
        return poll_until(
            agent, lambda: agent.requests_in_flight == 0 and agent.open_requests == 0, int(grace_ms * 0.55)
        )

    def on_drained(_):
        usage_reports.send_last_report(agent)
        log_event("left", flights=agent.requests_in_flight)
        agent.reactor.callLater(0.1, stop, 0)

    wait_ms = int(grace_ms * LISTEN_GRACE_RATIO) if agent.settings.front else 100
    poll_until(agent, lambda: False, wait_ms).addCallback(stop_accepting).addCallback(on_drained)
