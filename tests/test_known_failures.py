from tests.conftest import known_failures


def test_known_failures_returns_the_ids_of_listed_tests():
    text = "title\n  test: tests/a.py::b[c-d]\n  command: python -m pytest\n"
    assert known_failures(text) == {"tests/a.py::b[c-d]"}
