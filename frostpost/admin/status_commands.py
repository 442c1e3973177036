"""Commands for status, members, runners, placement and voters."""

from .api_client import EXIT_OK, print_error, print_result, send_request


def print_reply(command, daemon, path, format_text, method="GET", document=None):
    """Send a request and print the reply, as text by the function `format_text`."""
    result = send_request(daemon, path, method, document)
    if result.is_error():
        return print_error(command, result.error)
    print_result(command, result.ok, format_text(result.ok))
    return EXIT_OK


def drain(command, daemon):
    """Drain a runner, or cancel its drain."""
    return print_reply(
        command,
        daemon,
        f"/v1/runners/{command.runner}/drain",
        lambda reply: f"{reply['runner']} is {'leaving' if reply['leaving'] else 'staying'}",
        "POST",
        {"leaving": not command.stay},
    )


def status(command, daemon):
    """Print one daemon's status."""

    def format_text(reply):
        current = reply["configuration"]
        return "\n".join(
            [
                f"{reply['name']} ({reply['role']}, zone {reply['zone']}): "
                + ("serving" if reply["serving"] else "not serving"),
                f"configuration {current['epoch']} by {current['proposer']}, {current['age_ms']} ms old, "
                f"sequencer {current['sequencer']}",
                f"members: {', '.join(current['members'])}",
                f"voters: {', '.join(reply['voters'])}",
                f"applied {reply['applied']}, configuration index {reply['config_index']}, "
                f"honoured {reply['honoured']}",
                "duties: " + ", ".join(f"{duty}: {role['holder']}" for duty, role in reply["duties"].items()),
            ]
        )

    return print_reply(command, daemon, "/v1/status", format_text)


def members(command, daemon):
    """Print a daemon's peers and their applied indexes."""

    def format_text(reply):
        rows = [f"{reply['name']:8} itself      applied {reply['applied']}"]
        for name, peer in sorted(reply["peers"].items()):
            membership = "member" if name in reply["configuration"]["members"] else "outside"
            rows.append(
                f"{name:8} {membership:8} heard {peer['heard_ms']} ms ago, applied {peer['applied']}"
                + (", disk unwell" if peer["unwell"] else "")
            )
        return "\n".join(rows)

    return print_reply(command, daemon, "/v1/status", format_text)


def runners(command, daemon):
    """Print the runners."""
    return print_reply(
        command,
        daemon,
        "/v1/runners",
        lambda reply: "\n".join(
            f"{runner['name']:12} {runner['pool']:10} zone {runner['zone']} {runner['host']}:{runner['port']} "
            f"running {runner['running']}/{runner['room']} load {runner['load']}"
            + (" leaving" if runner["leaving"] else "")
            for runner in reply["runners"]
        ),
    )


def explain(command, daemon):
    """Print the placement scores of the runners for a route."""
    return print_reply(
        command,
        daemon,
        f"/v1/tenants/{command.tenant}/routes/{command.route}/explain",
        lambda reply: "\n".join(
            f"{runner['runner']:12} {runner['total']:8} " + (", ".join(runner["vetoes"]) or str(runner["scores"]))
            for runner in sorted(reply["runners"], key=lambda runner: (bool(runner["vetoes"]), -runner["total"]))
        ),
    )


def voters(command, daemon):
    """Print or change the voters."""
    if command.add or command.remove:
        document = {key: name for key, name in (("add", command.add), ("remove", command.remove)) if name}
        return print_reply(
            command, daemon, "/v1/voters", lambda reply: f"voters: {', '.join(reply['voters'])}", "POST", document
        )
    return print_reply(command, daemon, "/v1/status", lambda reply: f"voters: {', '.join(reply['voters'])}")
