"""Changes to the set of voters by an operator."""

from expression import Error, Ok
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.event_loop import submit
from frostpost.daemon.structured_log import log_event
from frostpost.ledger.results import VotersSet
from frostpost.virtual_synchrony.events import SetVoters
from frostpost.virtual_synchrony.quorum import is_majority

from . import calls, errors
from .control import availability_error

MIN_VOTERS = 3


def full_replicas(ctx):
    """Return the names of the members with a complete replica of the ledger."""
    synchrony = ctx.core.synchrony
    member_names = {m.name for m in synchrony.configuration.members}
    names = {n for n, p in synchrony.peers.items() if p.ready and n in member_names}
    return names | ({synchrony.name} if synchrony.primary.ready else set())


def check_change(ctx, document):
    """Return the voters after a change, or the error if it is not allowed."""
    before = ctx.core.ledger.voters
    if set(document) not in ({"add"}, {"remove"}, {"remove", "force"}):
        return Error(errors.BadBody("/", "give add or remove, one of them"))
    if "add" in document:
        name = document["add"]
        if name in before:
            return Error(errors.VotersRefused(f"{name} is a voter already"))
        if name not in full_replicas(ctx):
            return Error(errors.VotersRefused(f"{name} holds no full copy yet"))
        return Ok((*before, name))
    name = document["remove"]
    after = tuple(v for v in before if v != name)
    if after == before:
        return Error(errors.VotersRefused(f"{name} is no voter"))
    if not is_majority(after, full_replicas(ctx)):
        return Error(errors.VotersRefused("less than a majority of full copies would be left"))
    if len(after) < MIN_VOTERS and document.get("force") is not True:
        return Error(
            errors.VotersRefused(f"with {len(after)} voters the loss of one machine can't be borne; add another first")
        )
    return Ok(after)


@inlineCallbacks
def change_voters(ctx, request):
    """Serve a request to add or remove a voter."""
    error = availability_error(ctx)
    if error:
        return Error(error)
    parsed = calls.parse_body(request)
    if parsed.is_error():
        return parsed
    new_voters = check_change(ctx, parsed.ok)
    if new_voters.is_error():
        return new_voters
    before, configuration_id = ctx.core.ledger.voters, ctx.core.synchrony.configuration.id
    result = yield submit(ctx, SetVoters(configuration_id, before, new_voters.ok), ctx.settings.doors.ack_ms)
    if result.is_error():
        error = result.error
        return Error(errors.ConfigUnknown() if isinstance(error, errors.Undecided) else error)
    if not isinstance(result.ok, VotersSet):
        return Error(errors.VotersRefused("the members or the voters changed meanwhile"))
    log_event("VotersSet", before=list(before), after=list(new_voters.ok))
    return Ok({"voters": list(new_voters.ok)})


def add_routes(app, ctx, json_response, error_response):
    """Add the path for changes to the voters."""

    @app.route("/v1/voters", methods=["POST"])
    def post_voters(request):
        return change_voters(ctx, request).addCallback(
            lambda r: error_response(request, r.error, "") if r.is_error() else json_response(request, r.ok)
        )
