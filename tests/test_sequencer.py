from frostpost.simulator import world as worlds
from frostpost.simulator.play import all_nodes_serve
from frostpost.virtual_synchrony.events import Output
from frostpost.virtual_synchrony.members import sequencer_of
from frostpost.virtual_synchrony.messages import SubmitRequest
from frostpost.virtual_synchrony.ordering import on_submit_request


def test_all_members_use_the_proposed_sequencer_even_if_roles_are_unknown():
    world = worlds.create_world(3, 2, 3, 2)
    send = worlds.send

    def send_without_roles(world, node, target, body):
        other = world.nodes.get(target)
        if other is not None and other.core is not None and target[0] == "s" and target != "s1":
            for peer in other.core.synchrony.peers.values():
                peer.endpoint = peer.endpoint.__class__(
                    peer.endpoint.member,
                    "edge",
                    *list(getattr(peer.endpoint, field) for field in ("zone", "host", "port", "http_port")),
                )
        send(world, node, target, body)

    worlds.send = send_without_roles
    try:
        worlds.run(world, 4000)
    finally:
        worlds.send = send
    assert all_nodes_serve(world)
    assert {sequencer_of(n.core.synchrony) for n in world.nodes.values()} == {"c1"}


def test_operation_completed_elsewhere_does_not_delay_the_next():
    world = worlds.create_world(3, 2, 3, 2)
    worlds.run(world, 4000)
    synchrony = world.nodes["c1"].core.synchrony
    for first_open, first in ((1, 2), (2, 2)):
        on_submit_request(
            synchrony, Output(), "e1", SubmitRequest(synchrony.configuration.id, first_open, first, (b"b",))
        )
    assert [entry.number for entry in synchrony.order.unsent_entries] == [2]
