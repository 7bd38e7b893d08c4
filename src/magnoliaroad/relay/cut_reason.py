"""Names the reason why an answer was cut off, for the log."""

from functools import singledispatch

from magnoliaroad.refusal import Refused
from magnoliaroad.targets import TargetError


@singledispatch
def cut_reason(exc: BaseException) -> str:
    """Returns why ``exc`` ended an answer that had begun."""
    return "host failed"


@cut_reason.register
def _(exc: TargetError) -> str:
    silent = isinstance(exc.__cause__, TimeoutError)
    return "target silent" if silent else "target broke off"


@cut_reason.register
def _(exc: Refused) -> str:
    if "reason" in exc.inputs:
        return str(exc.inputs["reason"])
    return exc.refusal.code if exc.__cause__ is None else cut_reason(exc.__cause__)
