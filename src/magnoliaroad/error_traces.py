"""Frees what the traces of errors hold."""


def forget_traces(exc: BaseException | None) -> None:
    """Frees the frames of ``exc`` and of the errors that led to it.

    A frame that holds both the error and data is a reference cycle. Only the garbage
    collector would free it, and it counts objects, not their size.
    """
    while exc is not None:
        exc.__traceback__ = None
        exc = exc.__cause__ or exc.__context__
