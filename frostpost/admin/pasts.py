"""Commands about earlier versions of a document."""

from .asking import DONE, ask, fail, say


def history(command, door):
    """Print the kept versions of a document."""
    result = ask(door, f"/v1/config/{command.path}/history")
    if result.is_error():
        return fail(command, result.error)
    say(
        command,
        result.ok,
        "\n".join(
            f"version {v['version']}: " + ("removed" if v["removed"] else f"{v['size']} bytes, {v['digest']}")
            for v in result.ok["versions"]
        ),
    )
    return DONE


def changed(command, result):
    """Print a document's new version, or the error."""
    if result.is_error():
        return fail(command, result.error)
    say(command, result.ok, f"{command.path}: version {result.ok['version']}")
    return DONE


def rollback(command, door):
    """Bring a kept version back."""
    return changed(command, ask(door, f"/v1/config/{command.path}/rollback", "POST", {"version": command.version}))


def remove(command, door):
    """Remove a document."""
    return changed(command, ask(door, f"/v1/config/{command.path}", "DELETE"))
