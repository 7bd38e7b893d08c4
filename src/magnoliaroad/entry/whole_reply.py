"""A chat answer as one JSON object."""

from aiohttp import web
from typing_extensions import override

from magnoliaroad.entry.completion import Completion
from magnoliaroad.entry.reply import Reply


class WholeReply(Reply):
    """Sends one JSON response after the engine's stream is complete."""

    def __init__(self, model: str, headers: dict[str, str]) -> None:
        self._model = model
        self._headers = headers

    @override
    async def end(self, completion: Completion) -> web.StreamResponse:
        usage = completion.usage
        choice = {
            "index": 0,
            "message": completion.message,
            "finish_reason": completion.finish_reason,
        }
        body = {
            "id": completion.answer_id,
            "object": "chat.completion",
            "created": completion.created,
            "model": self._model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            },
        }
        return web.json_response(body, headers=self._headers)
