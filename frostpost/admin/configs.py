"""Commands that show configurations and apply them from a folder."""

import os
import sys

from msgspec import DecodeError, json

from .api_client import EXIT_FOUND, EXIT_OK, EXIT_USAGE, Refused, print_error, print_result, send_request


def read_folder(folder):
    """Return the folder's documents by path, and the errors found."""
    documents, errors = {}, []
    for kind in ("templates", "tenants"):
        directory = os.path.join(folder, kind)
        for name in sorted(os.listdir(directory)) if os.path.isdir(directory) else ():
            if not name.endswith(".json"):
                continue
            path = os.path.join(directory, name)
            with open(path, "rb") as file:
                try:
                    documents[f"{kind}/{name[:-5]}"] = json.decode(file.read())
                except DecodeError as error:
                    errors.append(f"{path}: {error}")
    return documents, errors


def find_changes(daemon, documents):
    """Return a (path, document, current version) for each difference, and an error or None.

    The version is 0 for a document that the fleet doesn't have.
    """
    changes = []
    for path, document in documents.items():
        current = send_request(daemon, f"/v1/config/{path}")
        if current.is_ok():
            if current.ok["document"] != document:
                changes.append((path, document, current.ok["version"]))
        elif isinstance(current.error, Refused) and current.error.status == 404:
            changes.append((path, document, 0))
        else:
            return changes, current.error
    return changes, None


def read_documents(command):
    """Return the folder's documents, or None after printing its errors."""
    documents, errors = read_folder(command.folder)
    if errors or not documents:
        for error in errors or [f"{command.folder}: no templates/*.json or tenants/*.json"]:
            print(f"BadDeclaration: {error}", file=sys.stderr)
        return None
    return documents


def plan_changes(command, daemon):
    """Return the exit status and the changes to make; the changes are None after an error."""
    documents = read_documents(command)
    if documents is None:
        return EXIT_USAGE, None
    changes, error = find_changes(daemon, documents)
    return (print_error(command, error), None) if error is not None else (EXIT_OK, changes)


def diff(command, daemon):
    """Print the changes that apply would make."""
    status, changes = plan_changes(command, daemon)
    if changes is None:
        return status
    rows = [
        {"path": path, "version": version, "change": "new" if version == 0 else "amended"}
        for path, _, version in changes
    ]
    print_result(command, rows, "\n".join(f"{row['path']}: {row['change']}" for row in rows) or "no differences")
    return EXIT_FOUND if rows else EXIT_OK


def apply_atomically(command, daemon):
    """Apply a folder as one atomic change."""
    documents = read_documents(command)
    if documents is None:
        return EXIT_USAGE
    current = send_request(daemon, "/v1/config")
    if current.is_error():
        return print_error(command, current.error)
    combined = {"templates": {}, "tenants": {}}
    for path, document in documents.items():
        kind, name = path.split("/", 1)
        combined[kind][name] = document
    result = send_request(daemon, "/v1/config", "PUT", combined, {"if-match": str(current.ok["index"])})
    if result.is_error():
        return print_error(command, result.error)
    rows = [{"path": p, "version": v} for p, v in sorted(result.ok["versions"].items())]
    print_result(
        command, rows, "\n".join(f"{row['path']}: version {row['version']}" for row in rows) or "nothing to do"
    )
    return EXIT_OK


def apply(command, daemon):
    """Apply a folder, one document at a time."""
    if command.whole:
        return apply_atomically(command, daemon)
    status, changes = plan_changes(command, daemon)
    if changes is None:
        return status
    rows = []
    for path, document, version in changes:
        result = send_request(daemon, f"/v1/config/{path}", "PUT", document, {"if-match": str(version)})
        if result.is_error():
            print_result(command, rows, "\n".join(f"{row['path']}: version {row['version']}" for row in rows))
            print(f"apply stopped at {path}", file=sys.stderr)
            return print_error(command, result.error)
        rows.append({"path": path, "version": result.ok["version"]})
    print_result(
        command, rows, "\n".join(f"{row['path']}: version {row['version']}" for row in rows) or "nothing to do"
    )
    return EXIT_OK


def get(command, daemon):
    """Print one document or list all."""
    result = send_request(daemon, f"/v1/config/{command.path}" if command.path else "/v1/config")
    if result.is_error():
        return print_error(command, result.error)
    if command.path:
        text = (
            f"{command.path} version {result.ok['version']}\n"
            + json.format(json.encode(result.ok["document"]), indent=2).decode()
        )
    else:
        text = "\n".join(
            f"{path} version {config['version']} ({config['size']} bytes)"
            for path, config in sorted(result.ok["configs"].items())
        )
    print_result(command, result.ok, text)
    return EXIT_OK
