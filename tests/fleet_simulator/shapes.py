"""The deployment shapes that days are drawn for."""

from .world import Shape

SHAPES = {
    "three": Shape(),
    "one": Shape(1, 3, 3, 3),
    "pair": Shape(2, 2, 2, 2),
    "four": Shape(4, 1, 1, 1),
    "five": Shape(5, 1, 1, 1),
    "seed": Shape(3, 1, 1, 1, seeds=1),
    "bare": Shape(3, 1, 1, 1, tolerated=0),
    "two": Shape(5, 1, 1, 1, tolerated=2),
    "many": Shape(3, 3, 1, 1),
    "spare": Shape(3, 1, 2, 1),
    "zones": Shape(3, 1, 2, 1, tolerated=0, tolerated_zones=1),
    "regions": Shape(3, 1, 2, 1, tolerated=0, tolerated_zones=1, tolerated_regions=1, regions=3),
}
