from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.groups.bulk import FileBulk

steps = st.lists(st.one_of(st.binary(min_size=1, max_size=40), st.none()), max_size=60)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(steps, st.data())
def test_bodies_are_found_until_dropped_and_empty_files_are_deleted(
    tmp_path_factory, steps, data
):
    folder = tmp_path_factory.mktemp("bulk")
    bulk = FileBulk(folder, segment_bytes=64)
    stored = []
    for body in steps:
        if body is not None:
            stored.append((bulk.put(body), body))
        elif stored:
            bulk.drop(stored.pop(data.draw(st.integers(0, len(stored) - 1)))[0])
        assert all(bulk.get(location) == body for location, body in stored)
    segments = {location.segment for location, _ in stored}
    assert len(list(folder.glob("*.bulk"))) <= len(segments) + 1


def test_files_of_an_earlier_process_are_deleted(tmp_path):
    FileBulk(tmp_path).put(b"old")
    FileBulk(tmp_path)
    assert not list(tmp_path.iterdir())


def test_a_body_that_cannot_be_written_stays_in_memory(tmp_path):
    bulk = FileBulk(tmp_path / "gone")
    (tmp_path / "gone").rmdir()
    stored = bulk.put(b"body")
    assert bulk.get(stored) == b"body"
    bulk.drop(stored)
