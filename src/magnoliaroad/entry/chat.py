"""Chat completions: one turn of a program, answered by a model engine."""

from aiohttp import web

from magnoliaroad.config import RouteKind
from magnoliaroad.entry.admission import consume_token, find_route, identify
from magnoliaroad.entry.body import receive_body
from magnoliaroad.entry.chat_request import ChatRequest, read_chat
from magnoliaroad.entry.chat_run import ChatRun
from magnoliaroad.entry.key_leak import refuse_leaked_key
from magnoliaroad.entry.progress import CancelOnWithdrawal
from magnoliaroad.entry.refused import Refused
from magnoliaroad.entry.reply import Reply
from magnoliaroad.entry.services import EntryServices
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.entry.stream_reply import StreamReply
from magnoliaroad.entry.whole_reply import WholeReply
from magnoliaroad.entry.withdrawal_watch import WithdrawalWatch
from magnoliaroad.relay.request_memory import HeldMemory


class ChatHandler:
    """Handles ``POST /v1/chat/completions``."""

    def __init__(
        self, cfg: EntrySettings, services: EntryServices, watch: WithdrawalWatch
    ) -> None:
        self.cfg = cfg
        self.services = services
        self._watch = watch

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Runs one chat request and returns its response."""
        with self.services.memory.hold() as held:
            return await self._handle(req, held)

    async def _handle(self, req: web.Request, held: HeldMemory) -> web.StreamResponse:
        caller = identify(self.services, req)
        data = await receive_body(req, self.cfg.max_body_bytes, held)
        refuse_leaked_key(req, data)
        chat = read_chat(req, caller, data)
        find_route(self.services, caller, chat.model, RouteKind.ENGINE)
        reply = _reply(req, chat)
        answer_held = held.beside()
        run = ChatRun(self.cfg, self.services, chat, reply, answer_held)
        try:
            with answer_held, CancelOnWithdrawal(self._watch, caller, run.progress):
                await consume_token(self.services, caller)
                completion = await run.run()
        except Refused as exc:
            if not reply.started:
                raise
            return await reply.fail(exc.refusal)
        return await reply.end(completion)


def _reply(req: web.Request, chat: ChatRequest) -> Reply:
    if chat.streams:
        return StreamReply(req, chat.headers)
    return WholeReply(chat.model, chat.headers)
