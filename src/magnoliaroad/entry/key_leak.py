"""Refuses requests that would disclose the caller's key to a target."""

import json
import urllib.parse

from aiohttp import web

from magnoliaroad.entry.admission import bearer_key
from magnoliaroad.entry.refused import Refused
from magnoliaroad.refusal import Refusal

KEY_IN_REQUEST = Refusal(
    code="key_in_request",
    status=400,
    message="The key stands in the path, query, headers or body, which targets see.",
    action="Send the key in the Authorization header only.",
)


def refuse_leaked_key(req: web.Request, body: bytes) -> None:
    """Refuses a request whose path, query, headers or body contain the caller's key.

    Also finds keys that are percent-encoded or written with JSON escapes.

    Raises:
        Refused: The key was found.
    """
    key = bearer_key(req)
    if not key:
        return
    headers = [v for name, v in req.headers.items() if name != "Authorization"]
    texts = [req.raw_path, *headers, body.decode(errors="replace")]
    texts += [urllib.parse.unquote_plus(text) for text in texts]
    if any(key in text for text in texts) or key in _unescaped(body):
        raise Refused(KEY_IN_REQUEST)


def _unescaped(body: bytes) -> str:
    if b"\\" not in body:
        return ""
    try:
        return json.dumps(json.loads(body), ensure_ascii=False)
    except (ValueError, RecursionError):
        return ""
