import gc


def test_collections_do_not_look_at_objects_of_earlier_tests():
    """A host in a test that collects would stop for longer, the later the test runs."""
    assert gc.get_freeze_count() > len(gc.get_objects())
