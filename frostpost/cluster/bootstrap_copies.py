"""The copy of the bootstrap record that a seed stores for the founder."""

from frostpost.virtual_synchrony.agent_messages import BootstrapReply

from .bootstrap_record import lowest, on_write_failed, write_record


def is_superseded(bootstrap, address, process):
    """Return whether another process at the address has sent requests since this one did."""
    if process in bootstrap.superseded_requesters:
        return True
    previous = bootstrap.requesters.get(address, process)
    if previous != process:
        bootstrap.superseded_requesters.add(previous)
    bootstrap.requesters[address] = process
    return False


def on_bootstrap_request(agent, endpoint, message):
    """Report the copy stored here, after storing the names in the request if there are any.

    Requests of an earlier process of the sender, which may arrive late, are ignored.
    """
    bootstrap = agent.attachments.get("founding")
    if bootstrap is None or bootstrap.copy_log is None or bootstrap.writing:
        return None
    requester = f"{endpoint.host}:{endpoint.port}"
    is_founder = not bootstrap.seeds or requester == lowest(bootstrap.seeds)
    if is_superseded(bootstrap, requester, endpoint.member) or message.names and not is_founder:
        return None

    def send_reply(_=None):
        seeds = bootstrap.seeds if bootstrap.has_first_disk else ()
        names = bootstrap.copied_voters or agent.bootstrap_voters
        reply = BootstrapReply(names, seeds, endpoint.member.incarnation)
        agent.links["send"](f"@{requester}", reply)

    def on_copy_written(_):
        bootstrap.copied_voters, bootstrap.writing = message.names, False
        send_reply()

    if not message.names or message.names == bootstrap.copied_voters:
        return send_reply()
    bootstrap.writing = True
    agent.machine.in_thread(write_record, bootstrap.copy_log, message.names).addCallbacks(
        on_copy_written, on_write_failed, None, None, (agent,)
    )
    return None
