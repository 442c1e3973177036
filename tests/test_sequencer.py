from frostpost.hedgerow.state import sequencer
from frostpost.weather import world as worlds
from frostpost.weather.play import back


def test_all_members_follow_the_proposers_sequencer_even_if_roles_are_unknown():
    world = worlds.make(3, 2, 3, 2)
    send = worlds.send

    def unlearned(world, node, target, body):
        other = world.nodes.get(target)
        if other is not None and other.core is not None and target[0] == "s" and target != "s1":
            for peer in other.core.hedge.peers.values():
                peer.place = peer.place.__class__(peer.place.member, "edge", *list(
                    getattr(peer.place, f) for f in ("cell", "host", "port", "httpPort")))
        send(world, node, target, body)
    worlds.send = unlearned
    try:
        worlds.run(world, 4000)
    finally:
        worlds.send = send
    assert back(world)
    assert {sequencer(n.core.hedge) for n in world.nodes.values()} == {"c1"}
