"""Changes of the set of voters by an operator."""

from expression import Error, Ok
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.event_loop import submit
from frostpost.daemon.structured_log import log_event
from frostpost.ledger.results import VotersSet
from frostpost.virtual_synchrony.events import SetVoters
from frostpost.virtual_synchrony.quorum import is_majority

from . import calls, errors
from .control import ready

FEWEST = 3


def fulls(ctx):
    """Return the names of members that hold a full copy of the ledger."""
    synchrony = ctx.core.synchrony
    inside = {m.name for m in synchrony.configuration.members}
    found = {n for n, p in synchrony.peers.items() if p.ready and n in inside}
    return found | ({synchrony.name} if synchrony.primary.ready else set())


def judge(ctx, document):
    """Return the voters after a change, or why it is not allowed."""
    before = ctx.core.ledger.voters
    if set(document) not in ({"add"}, {"remove"}, {"remove", "force"}):
        return Error(errors.BadBody("/", "give add or remove, one of them"))
    if "add" in document:
        name = document["add"]
        if name in before:
            return Error(errors.VotersRefused(f"{name} is a voter already"))
        if name not in fulls(ctx):
            return Error(errors.VotersRefused(f"{name} holds no full copy yet"))
        return Ok((*before, name))
    name = document["remove"]
    after = tuple(v for v in before if v != name)
    if after == before:
        return Error(errors.VotersRefused(f"{name} is no voter"))
    if not is_majority(after, fulls(ctx)):
        return Error(errors.VotersRefused("less than a majority of full copies would be left"))
    if len(after) < FEWEST and document.get("force") is not True:
        return Error(
            errors.VotersRefused(f"with {len(after)} voters the loss of one machine can't be borne; add another first")
        )
    return Ok(after)


@inlineCallbacks
def change(ctx, request):
    """Serve a change of voters."""
    error = ready(ctx)
    if error:
        return Error(error)
    parsed = calls.body_of(request)
    if parsed.is_error():
        return parsed
    judged = judge(ctx, parsed.ok)
    if judged.is_error():
        return judged
    before, id = ctx.core.ledger.voters, ctx.core.synchrony.configuration.id
    result = yield submit(ctx, SetVoters(id, before, judged.ok), ctx.settings.doors.ack_ms)
    if result.is_error():
        error = result.error
        return Error(errors.ConfigUnknown() if isinstance(error, errors.Undecided) else error)
    if not isinstance(result.ok, VotersSet):
        return Error(errors.VotersRefused("the members or the voters changed meanwhile"))
    log_event("VotersSet", before=list(before), after=list(judged.ok))
    return Ok({"voters": list(judged.ok)})


def routes(app, ctx, answer, refuse):
    """Add the path of voters."""

    @app.route("/v1/voters", methods=["POST"])
    def voters_(request):
        return change(ctx, request).addCallback(
            lambda r: refuse(request, r.error, "") if r.is_error() else answer(request, r.ok)
        )
