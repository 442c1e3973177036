from .asking import DONE, ask, fail, say


def history(command, door):
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
    if result.is_error():
        return fail(command, result.error)
    say(command, result.ok, f"{command.path}: version {result.ok['version']}")
    return DONE


def rollback(command, door):
    return changed(command, ask(door, f"/v1/config/{command.path}/rollback", "POST", {"version": command.version}))


def remove(command, door):
    return changed(command, ask(door, f"/v1/config/{command.path}", "DELETE"))
