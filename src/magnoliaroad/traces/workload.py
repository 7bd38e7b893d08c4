"""Workloads of the project's two users."""

from typing import NamedTuple

from magnoliaroad.traces.shape import Shape

# Shares of the eight teams in all programs; a few teams are large.
TEAM_SHARES = (0.26, 0.20, 0.14, 0.08, 0.08, 0.08, 0.08, 0.08)


class Workload(NamedTuple):
    """Programs and deployment size of a user.

    Attributes:
        name: Name of the workload.
        shapes: Kinds of programs that are not helpers.
        helper: Kind of the helpers, which other programs start.
        data_centres: Number of data centres.
        engines: Number of model engines.
        hosts: Number of entry hosts.
        policy: Routing policy that matches the user's priorities.
    """

    name: str
    shapes: tuple[Shape, ...]
    helper: Shape
    data_centres: int
    engines: int
    hosts: int
    policy: str


TILTBOX = Workload(
    name="tiltbox-match-night",
    shapes=(
        Shape("captain", 0.5, (2, 5), 1536, (40, 250), (60, 250), (0.3, 3.0)),
        Shape("dispute", 0.35, (5, 24), 2560, (80, 900), (100, 400), (0.5, 5.0)),
        Shape(
            "fixtures", 0.15, (6, 16), 2048, (300, 3000), (150, 500), (0.2, 2.0), 0.15
        ),
    ),
    helper=Shape("look-up", 0.0, (1, 3), 1024, (200, 800), (40, 150), (0.2, 1.0)),
    data_centres=3,
    engines=5,
    hosts=7,
    policy="program_latency",
)

SOKOL = Workload(
    name="sokol-lesson-week",
    shapes=(
        Shape(
            "lesson-week", 0.3, (8, 24), 3072, (300, 2500), (100, 400), (0.3, 3.0), 0.1
        ),
        Shape("student", 0.45, (3, 8), 2048, (60, 500), (60, 250), (0.3, 4.0)),
        Shape("cancellation", 0.25, (2, 4), 1536, (40, 200), (40, 150), (0.3, 2.0)),
    ),
    helper=Shape("medical-check", 0.0, (1, 3), 1024, (200, 900), (40, 150), (0.2, 1.0)),
    data_centres=4,
    engines=5,
    hosts=8,
    policy="worst_team",
)

WORKLOADS = {workload.name: workload for workload in (TILTBOX, SOKOL)}
