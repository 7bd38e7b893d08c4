"""Answers the expectations of callers that send a body only when asked for it."""

from aiohttp import HttpVersion11, web

from magnoliaroad.refusal import Refusal, Refused

UNKNOWN_EXPECTATION = Refusal(
    code="unknown_expectation",
    status=417,
    message="The only expectation that is supported is 100-continue.",
    action="Send the request without Expect.",
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def expects_continue(req: web.BaseRequest) -> bool:
    """Returns whether the caller waits for 100 Continue before it sends the body.

    HTTP/1.0 has no expectations, and a caller whose body has begun does not wait.

    Raises:
        Refused: The caller expects something else.
    """
    value = req.headers.get("Expect")
    if value is None or req.version < HttpVersion11:
        return False
    if value.strip().lower() != "100-continue":
        raise Refused(UNKNOWN_EXPECTATION)
    return not req.content.is_eof() and not req.content.total_bytes


async def send_continue(req: web.BaseRequest) -> None:
    """Asks the caller for the body."""
    await req.writer.write(CONTINUE)
    # The size is that of the answer, which has not begun.
    req.writer.output_size = 0
