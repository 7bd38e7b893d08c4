"""Dictionary keys for sets of labels."""

LabelKey = tuple[tuple[str, str], ...]


def label_key(labels: dict[str, str]) -> LabelKey:
    """Returns the key of ``labels``; callers must pass names in a fixed order."""
    return tuple(labels.items())
