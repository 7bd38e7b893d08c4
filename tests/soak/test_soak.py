"""A short soak; long ones with many seeds are run by hand."""

import pytest

from tests.soak.soak import soak

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 2])
async def test_no_promise_breaks_under_faults_from_outside(tmp_path, seed):
    assert await soak(seed, SECONDS, tmp_path) == []
