from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.groups.body_store import FileBodyStore

steps = st.lists(st.one_of(st.binary(min_size=1, max_size=40), st.none()), max_size=60)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(steps, st.data())
def test_bodies_are_found_until_dropped_and_empty_files_are_deleted(
    tmp_path_factory, steps, data
):
    folder = tmp_path_factory.mktemp("body_store")
    body_store = FileBodyStore(folder, segment_bytes=64)
    stored = []
    for body in steps:
        if body is not None:
            stored.append((body_store.put(body), body))
        elif stored:
            body_store.drop(stored.pop(data.draw(st.integers(0, len(stored) - 1)))[0])
        assert all(body_store.get(location) == body for location, body in stored)
    segments = {location.segment for location, _ in stored}
    assert len(list(folder.glob("*.bulk"))) <= len(segments) + 1


def test_files_of_an_earlier_process_are_deleted(tmp_path):
    FileBodyStore(tmp_path).put(b"old")
    FileBodyStore(tmp_path)
    assert not list(tmp_path.iterdir())


def test_a_body_that_cannot_be_written_stays_in_memory(tmp_path):
    body_store = FileBodyStore(tmp_path / "gone")
    (tmp_path / "gone").rmdir()
    stored = body_store.put(b"body")
    assert body_store.get(stored) == b"body"
    body_store.drop(stored)
