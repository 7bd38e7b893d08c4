"""A short soak with seeds that failed once; long ones are run by hand."""

import pytest

from tests.soak.soak import soak

SECONDS = 6.0
SEEDS = {
    1: "a list of record hosts that was read before they came made a turn denied",
    2: "turns were denied while too few record hosts had been asked",
    4: "as seed 2",
    5: "as seed 2",
    10: "SIGTERM while the program's modules were read ended it with a fault",
    46: "as seed 10",
}


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_promise_breaks_under_faults_from_outside(tmp_path, seed):
    assert await soak(seed, SECONDS, tmp_path) == []
