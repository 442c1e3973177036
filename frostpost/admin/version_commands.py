"""Commands for the earlier versions of a configuration, and for its removal."""

from .api_client import EXIT_OK, print_error, print_result, send_request


def history(command, daemon):
    """Print the retained versions of a document."""
    result = send_request(daemon, f"/v1/config/{command.path}/history")
    if result.is_error():
        return print_error(command, result.error)
    print_result(
        command,
        result.ok,
        "\n".join(
            f"version {version['version']}: "
            + ("removed" if version["removed"] else f"{version['size']} bytes, {version['digest']}")
            for version in result.ok["versions"]
        ),
    )
    return EXIT_OK


def print_new_version(command, result):
    """Print a document's new version, or the error."""
    if result.is_error():
        return print_error(command, result.error)
    print_result(command, result.ok, f"{command.path}: version {result.ok['version']}")
    return EXIT_OK


def rollback(command, daemon):
    """Restore a retained version as a new version."""
    return print_new_version(
        command, send_request(daemon, f"/v1/config/{command.path}/rollback", "POST", {"version": command.version})
    )


def remove(command, daemon):
    """Remove a document."""
    return print_new_version(command, send_request(daemon, f"/v1/config/{command.path}", "DELETE"))
