from msgspec import Struct, json, structs


class Overfilled(Struct, frozen=True, tag="Overfilled"):
    text: str = "too much is waiting to be ordered; nothing was run"
    status: int = 503
    retry_ms: int = 1000


class NoPrimary(Struct, frozen=True, tag="NoPrimary"):
    text: str = "this daemon is not with the majority of the storage machines; nothing was run"
    status: int = 503
    retry_ms: int = 1000


class Undecided(Struct, frozen=True, tag="Undecided"):
    text: str = "the order was not settled in time; nothing was run"
    status: int = 503
    retry_ms: int = 1000


class Unknown(Struct, frozen=True, tag="Unknown"):
    text: str = "the outcome is not known: it may have run"
    status: int = 502


class Leaving(Struct, frozen=True, tag="Leaving"):
    text: str = "this daemon is leaving; nothing was run"
    status: int = 503
    retry_ms: int = 200


class Crowded(Struct, frozen=True, tag="Crowded"):
    text: str = "too many requests are here at once; nothing was run"
    status: int = 429
    retry_ms: int = 1000


class RunnersFull(Struct, frozen=True, tag="RunnersFull"):
    text: str = "no runner that this lane may use has room; nothing was run"
    status: int = 503
    retry_ms: int = 500


class LimitPassed(Struct, frozen=True, tag="LimitPassed"):
    text: str = "the limit passed before anything was run"
    status: int = 504
    retry_ms: int = 1000


class StillRunning(Struct, frozen=True, tag="StillRunning"):
    text: str = "another go with this key is still running; come back for its verdict"
    status: int = 503
    retry_ms: int = 1000


class BadBody(Struct, frozen=True, tag="BadBody"):
    path: str
    text: str
    status: int = 400


class TooLong(Struct, frozen=True, tag="TooLong"):
    most: int
    text: str = "the body is too long"
    status: int = 413


class NoLane(Struct, frozen=True, tag="NoLane"):
    text: str
    status: int = 404


class NoSuch(Struct, frozen=True, tag="NoSuch"):
    text: str
    status: int = 404


class WrongMethod(Struct, frozen=True, tag="WrongMethod"):
    text: str = "this path doesn't take this method"
    status: int = 405


class BudgetGone(Struct, frozen=True, tag="BudgetGone"):
    budget: int
    spent: int
    text: str = "the program's budget is spent"
    status: int = 402


class TurnRunning(Struct, frozen=True, tag="TurnRunning"):
    text: str = "this program has another turn running; nothing was run"
    status: int = 409
    retry_ms: int = 500


class ConfigMoved(Struct, frozen=True, tag="ConfigMoved"):
    path: str
    version: int
    text: str = "the configuration moved; nothing took effect"
    status: int = 412


class ConfigInUse(Struct, frozen=True, tag="ConfigInUse"):
    path: str
    text: str
    status: int = 409


class OlderRules(Struct, frozen=True, tag="OlderRules"):
    text: str = "a daemon of the version before is still here; finish the roll-out first"
    status: int = 503
    retry_ms: int = 5000


class ConfigChanging(Struct, frozen=True, tag="ConfigChanging"):
    text: str = "the configuration is just changing; nothing was run"
    status: int = 503
    retry_ms: int = 300


class ConfigFaulty(Struct, frozen=True, tag="ConfigFaulty"):
    faults: tuple
    text: str = "the configuration is not valid; nothing took effect"
    status: int = 422


class ConfigUnknown(Struct, frozen=True, tag="ConfigUnknown"):
    text: str = "not every daemon has confirmed the configuration; read it back before trying again"
    status: int = 504
    retry_ms: int = 2000


class VotersTurnedAway(Struct, frozen=True, tag="VotersTurnedAway"):
    text: str
    status: int = 409


class KeyMismatch(Struct, frozen=True, tag="KeyMismatch"):
    text: str = "this key was used with another body"
    status: int = 422


class RunnerFault(Struct, frozen=True, tag="RunnerFault"):
    runner: str
    text: str
    status: int = 502


class OutputCut(Struct, frozen=True, tag="OutputCut"):
    amount: int
    text: str = "the runner went past what was reserved; the output was cut"
    status: int = 502


class TooSlow(Struct, frozen=True, tag="TooSlow"):
    text: str = "the answer was not taken for too long; the output was cut"
    status: int = 502


class Internal(Struct, frozen=True, tag="Internal"):
    text: str = "an unexpected fault; the outcome is not known"
    status: int = 500


def plain(fault):
    facts = {k: v for k, v in structs.asdict(fault).items() if k != "status"}
    return {"type": type(fault).__name__, **facts}


def body(fault, request_id):
    return json.encode({"fault": plain(fault), "request": request_id})


def retry_after(fault):
    wait_ms = getattr(fault, "retry_ms", None)
    if wait_ms is None:
        return None
    return str(max(1, (wait_ms + 999) // 1000))
