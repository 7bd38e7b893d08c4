"""Short soak runs with seeds that failed once; longer ones are run by hand.

The text of each seed is the failure that it guards against.
"""

import pytest

from tests.soak.soak import soak

SECONDS = 6.0
SEEDS = {
    1: "a list of record hosts read before they had started made a host reject a turn",
    2: "turns were rejected before enough record hosts had been asked",
    4: "as seed 2",
    5: "as seed 2",
    10: "SIGTERM during the import of its modules ended a host with a fault",
    46: "as seed 10",
}


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_guarantee_is_violated_under_injected_faults(tmp_path, seed):
    assert (await soak(seed, SECONDS, tmp_path)).violations == []
