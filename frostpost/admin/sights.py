"""Commands that show status, members, runners and voters."""

from .asking import DONE, ask, fail, say


def shown(command, door, path, text, method="GET", document=None):
    """Send a request and print its result by a text function."""
    result = ask(door, path, method, document)
    if result.is_error():
        return fail(command, result.error)
    say(command, result.ok, text(result.ok))
    return DONE


def drain(command, door):
    """Mark a runner as draining or staying."""
    return shown(
        command,
        door,
        f"/v1/runners/{command.runner}/drain",
        lambda said: f"{said['runner']} is {'leaving' if said['leaving'] else 'staying'}",
        "POST",
        {"leaving": not command.stay},
    )


def status(command, door):
    """Print one daemon's status."""

    def text(said):
        held = said["configuration"]
        return "\n".join(
            [
                f"{said['name']} ({said['role']}, zone {said['zone']}): "
                + ("serving" if said["serving"] else "not serving"),
                f"configuration {held['epoch']} by {held['proposer']}, {held['age_ms']} ms old, "
                f"sequencer {held['sequencer']}",
                f"members: {', '.join(held['members'])}",
                f"voters: {', '.join(said['voters'])}",
                f"applied {said['applied']}, configuration index {said['config_index']}, honoured {said['honoured']}",
                "duties: " + ", ".join(f"{n}: {d['holder']}" for n, d in said["duties"].items()),
            ]
        )

    return shown(command, door, "/v1/status", text)


def members(command, door):
    """Print the daemons that one daemon knows."""

    def text(said):
        rows = [f"{said['name']:8} itself      applied {said['applied']}"]
        for name, peer in sorted(said["peers"].items()):
            inside = "member" if name in said["configuration"]["members"] else "outside"
            rows.append(
                f"{name:8} {inside:8} heard {peer['heard_ms']} ms ago, applied {peer['applied']}"
                + (", disk unwell" if peer["unwell"] else "")
            )
        return "\n".join(rows)

    return shown(command, door, "/v1/status", text)


def runners(command, door):
    """Print the runners."""
    return shown(
        command,
        door,
        "/v1/runners",
        lambda said: "\n".join(
            f"{r['name']:12} {r['pool']:10} zone {r['zone']} {r['host']}:{r['port']} "
            f"running {r['running']}/{r['room']} load {r['load']}" + (" leaving" if r["leaving"] else "")
            for r in said["runners"]
        ),
    )


def explain(command, door):
    """Print why a runner would be chosen for a route."""
    return shown(
        command,
        door,
        f"/v1/tenants/{command.tenant}/routes/{command.route}/explain",
        lambda said: "\n".join(
            f"{r['runner']:12} {r['total']:8} " + (", ".join(r["vetoes"]) or str(r["scores"]))
            for r in sorted(said["runners"], key=lambda r: (bool(r["vetoes"]), -r["total"]))
        ),
    )


def voters(command, door):
    """Print or change the voters."""
    if command.add or command.remove:
        document = {k: v for k, v in (("add", command.add), ("remove", command.remove)) if v}
        return shown(command, door, "/v1/voters", lambda said: f"voters: {', '.join(said['voters'])}", "POST", document)
    return shown(command, door, "/v1/status", lambda said: f"voters: {', '.join(said['voters'])}")
