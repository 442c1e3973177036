"""Commands that bring a folder of declarations into effect."""

import os
import sys

from msgspec import DecodeError, json

from .asking import DONE, FOUND, MISUSED, Refused, ask, fail, say


def declared(folder):
    """Return (documents by path, errors) of a folder."""
    found, errors = {}, []
    for kind in ("templates", "tenants"):
        base = os.path.join(folder, kind)
        for name in sorted(os.listdir(base)) if os.path.isdir(base) else ():
            if not name.endswith(".json"):
                continue
            path = os.path.join(base, name)
            with open(path, "rb") as file:
                try:
                    found[f"{kind}/{name[:-5]}"] = json.decode(file.read())
                except DecodeError as error:
                    errors.append(f"{path}: {error}")
    return found, errors


def changes(door, found):
    """Return the (path, document, version held) that differ, and an error or None."""
    plan = []
    for path, document in found.items():
        held = ask(door, f"/v1/config/{path}")
        if held.is_ok():
            if held.ok["document"] != document:
                plan.append((path, document, held.ok["version"]))
        elif isinstance(held.error, Refused) and held.error.status == 404:
            plan.append((path, document, 0))
        else:
            return plan, held.error
    return plan, None


def read(command):
    """Return a folder's documents, or None after printing its errors."""
    found, errors = declared(command.folder)
    if errors or not found:
        for error in errors or [f"{command.folder}: no templates/*.json or tenants/*.json"]:
            print(f"BadDeclaration: {error}", file=sys.stderr)
        return None
    return found


def planned(command, door):
    """Return (exit status, changes to make); the changes are None after an error."""
    found = read(command)
    if found is None:
        return MISUSED, None
    plan, error = changes(door, found)
    return (fail(command, error), None) if error is not None else (DONE, plan)


def diff(command, door):
    """Print what apply would change."""
    status, plan = planned(command, door)
    if plan is None:
        return status
    rows = [{"path": p, "version": v, "change": "new" if v == 0 else "amended"} for p, _, v in plan]
    say(command, rows, "\n".join(f"{r['path']}: {r['change']}" for r in rows) or "nothing differs")
    return FOUND if rows else DONE


def apply_whole(command, door):
    """Apply a folder as one change: all or nothing."""
    found = read(command)
    if found is None:
        return MISUSED
    held = ask(door, "/v1/config")
    if held.is_error():
        return fail(command, held.error)
    whole = {"templates": {}, "tenants": {}}
    for path, document in found.items():
        kind, name = path.split("/", 1)
        whole[kind][name] = document
    result = ask(door, "/v1/config", "PUT", whole, {"if-match": str(held.ok["index"])})
    if result.is_error():
        return fail(command, result.error)
    rows = [{"path": p, "version": v} for p, v in sorted(result.ok["versions"].items())]
    say(command, rows, "\n".join(f"{r['path']}: version {r['version']}" for r in rows) or "nothing to do")
    return DONE


def apply(command, door):
    """Apply a folder, document by document."""
    if command.whole:
        return apply_whole(command, door)
    status, plan = planned(command, door)
    if plan is None:
        return status
    rows = []
    for path, document, version in plan:
        result = ask(door, f"/v1/config/{path}", "PUT", document, {"if-match": str(version)})
        if result.is_error():
            say(command, rows, "\n".join(f"{r['path']}: version {r['version']}" for r in rows))
            print(f"stopped at {path}", file=sys.stderr)
            return fail(command, result.error)
        rows.append({"path": path, "version": result.ok["version"]})
    say(command, rows, "\n".join(f"{r['path']}: version {r['version']}" for r in rows) or "nothing to do")
    return DONE


def get(command, door):
    """Print one document or the list of all."""
    result = ask(door, f"/v1/config/{command.path}" if command.path else "/v1/config")
    if result.is_error():
        return fail(command, result.error)
    if command.path:
        text = (
            f"{command.path} version {result.ok['version']}\n"
            + json.format(json.encode(result.ok["document"]), indent=2).decode()
        )
    else:
        text = "\n".join(
            f"{p} version {c['version']} ({c['size']} bytes)" for p, c in sorted(result.ok["configs"].items())
        )
    say(command, result.ok, text)
    return DONE
