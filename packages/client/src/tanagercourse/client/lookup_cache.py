"""Which entry instances a caller may use, from a cached look-up answer."""

from collections.abc import Sequence
from random import Random

import anyio
import httpx
from returns.result import Failure, Result, Success

from tanagercourse.client.call import NoInstance
from tanagercourse.core.work import Clock
from tanagercourse.wire.lookups import (
    LOOKUP_PATH,
    LookupResponse,
    decode_lookup_response,
)

LOOKUP_TIMEOUT_S = 0.5
# An answer is renewed within this last part of its validity, each caller at its time.
RENEW_SHARE = 0.3
# After a look-up that nobody answered, the old answer is used for so long.
LOOKUP_RETRY_S = 1.0
# An instance that leaves or did not answer is tried last for so long.
AVOID_S = 5.0


class Directory:
    """The look-up answer that a caller caches, and the instances it avoids.

    An answer is used until its validity ends, and longer when no instance answers.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        known_urls: Sequence[str],
        query: dict[str, str],
        clock: Clock,
        random: Random,
    ) -> None:
        self._http = http
        self.known_urls = tuple(known_urls)
        self._query = query
        self._clock = clock
        self._random = random
        self._answer: LookupResponse | None = None
        self._renew_at_s = 0.0
        self._avoid_until_s: dict[str, float] = {}
        self._renewing = anyio.Lock()

    async def urls(self) -> Result[tuple[str, ...], NoInstance]:
        """Return base URLs of instances, first choice first.

        Returns:
            URLs of the cached answer, then the known ones; those to avoid come last.
        """
        if self._clock() >= self._renew_at_s:
            await self._renew_once()
        if self._answer is None:
            return Failure(NoInstance(self.known_urls))
        offered = [instance.url for instance in self._answer.instances]
        every = list(dict.fromkeys([*offered, *self.known_urls]))
        return Success(tuple(sorted(every, key=self._is_avoided)))

    async def look_up(self) -> Result[LookupResponse, NoInstance]:
        """Return the cached look-up answer, renewed when it is old."""
        found = await self.urls()
        if isinstance(found, Failure):
            return found
        assert self._answer is not None
        return Success(self._answer)

    def avoid(self, url: str) -> None:
        """Try an instance last for a while: it leaves, or did not answer."""
        self._avoid_until_s[url] = self._clock() + AVOID_S

    async def _renew_once(self) -> None:
        """Renew the answer; only the first caller's task waits for that."""
        if self._answer is not None and self._renewing.locked():
            return
        async with self._renewing:
            if self._clock() >= self._renew_at_s:
                await self._renew()

    async def _renew(self) -> None:
        for url in self._askable():
            answer = await self._ask(url)
            if answer is not None and answer.instances:
                self._take(answer)
                return
            self.avoid(url)
        wait_s = LOOKUP_RETRY_S * self._random.uniform(1.0 - RENEW_SHARE, 1.0)
        if self._answer is not None:
            self._renew_at_s = self._clock() + wait_s

    def _askable(self) -> list[str]:
        """Return whom to ask, so that callers do not all ask the same one first."""
        cached = self._answer.instances if self._answer else ()
        known = self._random.sample(self.known_urls, len(self.known_urls))
        every = [*(instance.url for instance in cached), *known]
        return sorted(dict.fromkeys(every), key=self._is_avoided)

    def _take(self, answer: LookupResponse) -> None:
        self._answer = answer
        valid_s = answer.valid_for_ms / 1_000
        share = self._random.uniform(1.0 - RENEW_SHARE, 1.0)
        self._renew_at_s = self._clock() + valid_s * share

    async def _ask(self, url: str) -> LookupResponse | None:
        try:
            response = await self._http.get(
                url + LOOKUP_PATH, params=self._query, timeout=LOOKUP_TIMEOUT_S
            )
        except httpx.HTTPError:
            return None
        if response.status_code != httpx.codes.OK:
            return None
        return decode_lookup_response(response.content).value_or(None)

    def _is_avoided(self, url: str) -> bool:
        until_s = self._avoid_until_s.get(url)
        if until_s is not None and self._clock() >= until_s:
            del self._avoid_until_s[url]
        return url in self._avoid_until_s
