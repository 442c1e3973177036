"""Header names of the platform's HTTP interface in lower case, and the hop-by-hop headers."""

ATTEMPT_ID, TIME_REMAINING, TARGET_INSTANCE = b"x-attempt-id", b"x-time-remaining", b"x-target-instance"
SERVER_SEAL, NOT_EXECUTED, INSTANCE_ID, INSTANCE_LOAD = (
    b"x-server-seal",
    b"x-not-executed",
    b"x-instance-id",
    b"x-instance-load",
)
OPERATION_KEY, PREVIOUS_TURN, LAST_EVENT_ID = b"x-operation-key", b"x-previous-turn", b"last-event-id"
PROGRAM_ID, SESSION_ID, PROGRAM_DEADLINE = b"x-program-id", b"x-session-id", b"x-program-deadline"
TOKEN_BUDGET, TOKEN_COUNT, PROMPT_PREFIX = b"x-token-budget", b"x-token-count", b"x-prompt-prefix"
BASE_REVISION = b"x-base-revision"
AUTHORIZATION, SUBSCRIBER = b"authorization", b"x-subscriber"

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
REQUEST_HEADERS = frozenset(
    (
        ATTEMPT_ID,
        TIME_REMAINING,
        OPERATION_KEY,
        PREVIOUS_TURN,
        LAST_EVENT_ID,
        PROGRAM_ID,
        SESSION_ID,
        PROGRAM_DEADLINE,
        TOKEN_BUDGET,
        TOKEN_COUNT,
        PROMPT_PREFIX,
        AUTHORIZATION,
        b"host",
    )
)


def connection_options(connection_values):
    """Return the headers that Connection values list, except those that the platform defines as end-to-end."""
    listed = {name.strip().lower() for value in connection_values for name in value.split(b",")}
    return {name for name in listed if not name.startswith(b"x-")} - REQUEST_HEADERS
