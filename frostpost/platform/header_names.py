"""Header names of the platform's wire, in lower case, and those that concern one connection only."""

ATTEMPT, LEFT, TARGET = b"x-attempt-id", b"x-time-remaining", b"x-target-instance"
SEAL, NOT_RUN, INSTANCE, LOAD = b"x-server-seal", b"x-not-executed", b"x-instance-id", b"x-instance-load"
KEY, PREVIOUS, LAST_EVENT = b"x-operation-key", b"x-previous-turn", b"last-event-id"
PROGRAM, LINE, PROGRAM_LEFT = b"x-program-id", b"x-session-id", b"x-program-deadline"
BUDGET, TOKENS, PARTS = b"x-token-budget", b"x-token-count", b"x-prompt-prefix"
BASE = b"x-base-revision"

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
REQUEST_FIELDS = frozenset(
    (
        ATTEMPT,
        LEFT,
        KEY,
        PREVIOUS,
        LAST_EVENT,
        PROGRAM,
        LINE,
        PROGRAM_LEFT,
        BUDGET,
        TOKENS,
        PARTS,
        b"host",
    )
)


def connection_names(values):
    """Names that Connection headers list; those that the platform gives a meaning stay end to end."""
    listed = {name.strip().lower() for value in values for name in value.split(b",")}
    return {name for name in listed if not name.startswith(b"x-")} - REQUEST_FIELDS
