from tests.conftest import known_failures


def test_listed_tests_are_found_by_their_ids():
    text = "title\n  test: tests/a.py::b[c-d]\n  command: python -m pytest\n"
    assert known_failures(text) == {"tests/a.py::b[c-d]"}
