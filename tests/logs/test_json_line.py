from magnoliaroad.logs.json_line import encode_line


def test_a_line_with_bytes_that_are_not_utf_8_is_written():
    """A caller's header is decoded with surrogate escapes."""
    line = encode_line({"program": "p-\udcff", "cause": ValueError("x"), "load": 1})
    assert line == r'{"program":"p-\udcff","cause":"x","load":1}' + "\n"
