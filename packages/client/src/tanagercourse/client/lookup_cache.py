"""Cache the look-up response that names the entry instances a caller may use."""

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
# A response is renewed at a random time within this last share of its validity, so
# that callers do not all renew at once.
RENEWAL_WINDOW_SHARE = 0.3
# Maximum time until the next look-up after one that no instance answered; the cached
# response is used in the meantime.
LOOKUP_RETRY_DELAY_S = 1.0
# An instance that is leaving or did not respond is tried last for this time.
AVOID_DURATION_S = 5.0


class LookupCache:
    """Caches a caller's last look-up response and tracks instances to avoid.

    A response is used until its validity ends, and longer if no instance responds to
    the next look-up.

    Args:
        http: The HTTP client for look-ups.
        seed_urls: Base URLs of a few entry instances, for the first look-up.
        query: The query parameters of a look-up.
        clock: A monotonic clock, in seconds.
        random: Source of randomness for renewal times and the order of look-ups.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        seed_urls: Sequence[str],
        query: dict[str, str],
        clock: Clock,
        random: Random,
    ) -> None:
        self._http = http
        self.seed_urls = tuple(seed_urls)
        self._query = query
        self._clock = clock
        self._random = random
        self._cached_response: LookupResponse | None = None
        self._renew_at_s = 0.0
        self._avoid_until_s: dict[str, float] = {}
        self._renewal_lock = anyio.Lock()

    async def urls(self) -> Result[tuple[str, ...], NoInstance]:
        """Return the base URLs of instances, most preferred first.

        Returns:
            The URLs that the cached response offers, then the seed URLs. Instances
            to avoid come last.
        """
        if self._clock() >= self._renew_at_s:
            await self._renew_once()
        if self._cached_response is None:
            return Failure(NoInstance(self.seed_urls))
        offered = [instance.url for instance in self._cached_response.instances]
        all_urls = list(dict.fromkeys([*offered, *self.seed_urls]))
        return Success(tuple(sorted(all_urls, key=self._is_avoided)))

    async def look_up(self) -> Result[LookupResponse, NoInstance]:
        """Return the cached look-up response, renewing it first if that is due."""
        found = await self.urls()
        if isinstance(found, Failure):
            return found
        assert self._cached_response is not None
        return Success(self._cached_response)

    def avoid(self, url: str) -> None:
        """Put an instance last for AVOID_DURATION_S seconds.

        Args:
            url: The base URL of an instance that is leaving or did not respond.
        """
        self._avoid_until_s[url] = self._clock() + AVOID_DURATION_S

    async def _renew_once(self) -> None:
        """Renew the response unless another task is renewing it.

        Without a cached response, every task waits until the first one has renewed
        it. With one, the other tasks continue with the cached response.
        """
        if self._cached_response is not None and self._renewal_lock.locked():
            return
        async with self._renewal_lock:
            if self._clock() >= self._renew_at_s:
                await self._renew()

    async def _renew(self) -> None:
        for url in self._lookup_targets():
            response = await self._request_lookup(url)
            if response is not None and response.instances:
                self._store(response)
                return
            self.avoid(url)
        wait_s = LOOKUP_RETRY_DELAY_S * self._random.uniform(
            1.0 - RENEWAL_WINDOW_SHARE, 1.0
        )
        if self._cached_response is not None:
            self._renew_at_s = self._clock() + wait_s

    def _lookup_targets(self) -> list[str]:
        """Return the URLs to send look-ups to, in order.

        The seed URLs are shuffled, so that callers do not all start with the same
        instance.
        """
        cached = self._cached_response.instances if self._cached_response else ()
        shuffled = self._random.sample(self.seed_urls, len(self.seed_urls))
        all_urls = [*(instance.url for instance in cached), *shuffled]
        return sorted(dict.fromkeys(all_urls), key=self._is_avoided)

    def _store(self, response: LookupResponse) -> None:
        self._cached_response = response
        valid_s = response.valid_for_ms / 1_000
        share = self._random.uniform(1.0 - RENEWAL_WINDOW_SHARE, 1.0)
        self._renew_at_s = self._clock() + valid_s * share

    async def _request_lookup(self, url: str) -> LookupResponse | None:
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
