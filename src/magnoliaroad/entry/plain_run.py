"""Runs one call to a plain service."""

import contextlib
import hashlib
import time
from collections.abc import AsyncIterator

from aiohttp import web
from loguru import logger

from magnoliaroad.entry.admission import unwrap
from magnoliaroad.entry.headers import answer_headers
from magnoliaroad.entry.plain_call import PlainCall
from magnoliaroad.entry.plain_reply import PlainReply
from magnoliaroad.entry.progress import Progress
from magnoliaroad.entry.refused import Refused, target_failed
from magnoliaroad.entry.services import EntryServices
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.once import Attempt, Conclusion, StoredAnswer
from magnoliaroad.quarantine import fingerprint_of
from magnoliaroad.routing import Placement, Usage
from magnoliaroad.targets import (
    RequestEnd,
    TargetError,
    TargetResponse,
    classify_failure,
)
from magnoliaroad.verdict import Verdict


class PlainRun:
    """One call to a plain service and its attempts on targets.

    Attributes:
        progress: Whether a target may have run the call.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        services: EntryServices,
        call: PlainCall,
        reply: PlainReply,
    ) -> None:
        self.cfg = cfg
        self.services = services
        self.call = call
        self.reply = reply
        self.progress = Progress()
        self._fingerprint = ""

    def check_quarantine(self) -> None:
        """Refuses a request that is known to crash targets.

        Raises:
            Refused: The request is in quarantine.
        """
        call = self.call
        self._fingerprint = fingerprint_of(call.route.name, call.content)
        unwrap(self.services.quarantine.check(self._fingerprint))

    async def relay(self) -> web.StreamResponse:
        """Streams the answer to the caller as it arrives.

        Raises:
            Refused: The call was refused, failed or got no complete answer.
            ConnectionResetError: The caller has disconnected.
        """
        async with self._exchange() as response:
            await self.reply.start(response)
            async for chunk in response.iter_chunks():
                await self.reply.write(chunk)
                if self.reply.caller_left:
                    raise ConnectionResetError("the caller has disconnected")
        return await self.reply.end()

    async def run_once(self, attempt: Attempt) -> web.StreamResponse:
        """Runs ``attempt`` and records how it ended, even if the caller disconnects.

        Raises:
            Refused: The call was refused, failed or got no complete answer.
        """
        conclusion = Conclusion(Verdict.MAY_HAVE_RUN)
        try:
            resp, conclusion = await self._run_and_conclude()
        except Refused as exc:
            conclusion = Conclusion(exc.refusal.verdict)
            raise
        finally:
            await self.services.once.finish(attempt, conclusion)
        return resp

    async def _run_and_conclude(self) -> tuple[web.StreamResponse, Conclusion]:
        async with self._exchange() as response:
            chunks = response.iter_chunks()
            start, is_complete = await _read_start(
                chunks, self.services.once.cfg.answer_limit_bytes
            )
            if not is_complete:
                digest = await self._relay_rest(response, start, chunks)
                return await self.reply.end(), Conclusion(Verdict.RAN, None, digest)
            headers = answer_headers(response.headers)
            stored = StoredAnswer(response.status, headers, bytes(start))
            return self.reply.complete_response(stored), Conclusion(Verdict.RAN, stored)

    async def _relay_rest(
        self, response: TargetResponse, start: bytearray, chunks: AsyncIterator[bytes]
    ) -> str:
        digest = hashlib.sha256(start)
        await self.reply.start(response)
        await self.reply.write(bytes(start))
        # A caller may read the rest for long.
        start.clear()
        async for chunk in chunks:
            digest.update(chunk)
            await self.reply.write(chunk)
        return digest.hexdigest()

    @contextlib.asynccontextmanager
    async def _exchange(self) -> AsyncIterator[TargetResponse]:
        placement, response = await self._try_targets()
        failure: BaseException | None = None
        try:
            yield response
        except TargetError as exc:
            failure = exc
            raise Refused(target_failed(exc)) from exc
        except BaseException as exc:
            failure = exc
            raise
        finally:
            response.close()
            self._release(placement, failure)

    async def _try_targets(self) -> tuple[Placement, TargetResponse]:
        failed: set[str] = set()
        now, limit_s = time.monotonic(), self.services.targets.cfg.first_byte_timeout_s
        self.services.drain.fit(now, now + limit_s)
        for _ in range(self.cfg.attempts):
            job = self.call.job(frozenset(failed))
            placement = unwrap(await self.services.placement.acquire(job))
            try:
                return placement, await self._send(placement)
            except TargetError as exc:
                failed.add(placement.target.name)
                self._record_failure(placement, exc)
                last = exc
                if not exc.verdict.may_retry:
                    break
        raise Refused(target_failed(last)) from last

    async def _send(self, placement: Placement) -> TargetResponse:
        self.progress.verdict = Verdict.MAY_HAVE_RUN
        self.services.quarantine.request_started(
            placement.target.name, self._fingerprint
        )
        try:
            req = self.call.request_to(placement.target)
            limit_s = self.services.drain.time_limit_s(
                time.monotonic(), self.services.targets.cfg.first_byte_timeout_s
            )
            response = await self.services.targets.open(req, limit_s)
            response.check_is_own()
            return response
        except TargetError as exc:
            self.progress.verdict = exc.verdict
            self._release(placement, exc)
            raise
        except BaseException as exc:
            self._release(placement, exc)
            raise

    def _release(self, placement: Placement, failure: BaseException | None) -> None:
        failed = isinstance(failure, TargetError)
        end = RequestEnd.UNKNOWN if failure else RequestEnd.COMPLETED
        if failed:
            end = classify_failure(failure)
        self.services.placement.release(placement, Usage(failed=failed))
        self.services.quarantine.request_ended(
            placement.target.name, self._fingerprint, end, self.call.route.name
        )

    def _record_failure(self, placement: Placement, exc: TargetError) -> None:
        logger.bind(
            request=self.call.request_id,
            target=placement.target.name,
            verdict=exc.verdict.value,
            reason=str(exc),
        ).warning("target failed")


async def _read_start(
    chunks: AsyncIterator[bytes], limit_bytes: int
) -> tuple[bytearray, bool]:
    """Reads until more than ``limit_bytes`` have arrived or the answer ends.

    Returns:
        The bytes that were read, and whether they are the complete answer.
    """
    start = bytearray()
    async for chunk in chunks:
        start += chunk
        if len(start) > limit_bytes:
            return start, False
    return start, True
