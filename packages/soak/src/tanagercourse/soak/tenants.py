"""Tenants of the soak, their API keys, and checks of who may use them and when.

A key counts for an instance from the time in which a configuration must be applied. An
instance is excused while it can't reach the platform, and after a restart or a pause. A
fault of the relay that it follows is no excuse: it must find another source in time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any

from tanagercourse.adapter.headers import HEADER_NAMES
from tanagercourse.core.ids import TenantId
from tanagercourse.gateway.headers import Headers, find_header
from tanagercourse.soak.checks import Checks, Invariant

TENANTS = (TenantId("large"), TenantId("medium"), TenantId("small"))
# Limits of the tenants in the configuration. The callers of the first one exceed its
# limit at times, and far when it floods; the others have none.
LIMITS = {TENANTS[0]: {"rate_per_s": 40.0, "burst": 10.0}}
# Time in which every instance that can reach the platform applies a configuration, in
# seconds.
APPLY_S = 3.0
# Probability that a request has a key that was removed or never existed.
INVALID_KEY_PROBABILITY = 0.1
# Keys that a tenant has at most; the first one of each tenant is never removed.
MAX_KEYS = 4
UNAUTHORIZED = 401
# Status of an instance that has no configuration yet, or no room for a body.
UNAVAILABLE = 503

# Returns whether an instance could reach the platform since a time, in seconds.
CouldReach = Callable[[str, float], bool]


@dataclass
class Key:
    """An API key.

    Attributes:
        secret: The key.
        tenant: Tenant that has or had the key; None if it never existed.
        added_at_s: Time at which it was added, in seconds.
        removed_at_s: Time at which it was removed, in seconds; None if it is valid.
    """

    secret: str
    tenant: TenantId | None
    added_at_s: float
    removed_at_s: float | None = None

    def is_certain(self, is_valid: bool, now_s: float) -> bool:
        """Return whether every instance must know that a key is, or isn't, valid."""
        if is_valid:
            return self.removed_at_s is None and now_s >= self.added_at_s + APPLY_S
        return self.removed_at_s is not None and now_s >= self.removed_at_s + APPLY_S


@dataclass(frozen=True)
class _Sent:
    key: Key
    instance: str
    at_s: float


@dataclass
class TenantKeys:
    """The keys of all tenants, and the requests that callers sent with them.

    Attributes:
        checks: Counts the checks and their violations.
        clock: A monotonic clock, in seconds.
        could_reach: Returns whether an instance could reach the platform.
        limits: Limit of each tenant that has one, as in the configuration.
        keys: All keys that are or were valid, and one that never was.
    """

    checks: Checks
    clock: Callable[[], float]
    could_reach: CouldReach
    limits: dict[TenantId, dict[str, float]] = field(default_factory=dict)
    keys: list[Key] = field(default_factory=list)
    _sent: dict[str, _Sent] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Add one key for each tenant and one that never exists."""
        self.keys = [Key(f"{name}-key-0", name, -APPLY_S) for name in TENANTS]
        self.keys.append(Key("no-key", None, -APPLY_S, -APPLY_S))

    def add(self, random: Random) -> None:
        """Add a key to a tenant, unless it has the most keys already."""
        tenant = random.choice(TENANTS)
        if sum(key.tenant == tenant for key in self._valid()) < MAX_KEYS:
            secret = f"{tenant}-key-{len(self.keys)}"
            self.keys.append(Key(secret, tenant, self.clock()))

    def remove(self, random: Random) -> None:
        """Remove a key, unless each tenant has only the one that it keeps."""
        removable = [key for key in self._valid() if key.added_at_s >= 0.0]
        if removable:
            random.choice(removable).removed_at_s = self.clock()

    def make_documents(self) -> list[dict[str, Any]]:
        """Return the tenants of the configuration."""
        valid = self._valid()
        return [
            {
                "name": name,
                "api_keys": [key.secret for key in valid if key.tenant == name],
                **self.limits.get(name, {}),
            }
            for name in TENANTS
        ]

    def choose(self, random: Random, tenant: TenantId | None = None) -> Key:
        """Return a key for a request, rarely one that isn't valid.

        Args:
            random: Source of the choice.
            tenant: Tenant whose valid keys are chosen; None for all keys.
        """
        if tenant is not None:
            return random.choice([key for key in self._valid() if key.tenant == tenant])
        is_valid = random.random() >= INVALID_KEY_PROBABILITY
        return random.choice(
            [key for key in self.keys if (key.removed_at_s is None) is is_valid]
        )

    def record_sent(self, request_id: str, key: Key, instance: str) -> None:
        """Record that a caller sends a request with a key to an instance now."""
        self._sent[request_id] = _Sent(key, instance, self.clock())

    def check_arrival(
        self,
        request_id: str,
        headers: Headers,
        was_undisturbed: Callable[[float], bool],
    ) -> None:
        """Check a request that reaches an upstream.

        Args:
            request_id: Id of the request.
            headers: Headers that the upstream received.
            was_undisturbed: Returns whether requests to the upstream were passed on at
                once since a time, in seconds.
        """
        sent = self._sent.get(request_id)
        if sent is None:
            return
        name = find_header(headers, HEADER_NAMES.tenant)
        is_tenant = name is not None and name.decode() == sent.key.tenant
        self.checks.check(Invariant.TENANT_NAMED, is_tenant, f"{request_id}: {name!r}")
        secret = sent.key.secret.encode()
        has_key = any(secret in value for _, value in headers)
        self.checks.check(Invariant.KEY_NOT_PASSED_ON, not has_key, request_id)
        removed_at_s = sent.key.removed_at_s
        if (
            removed_at_s is not None
            and sent.key.is_certain(False, self.clock())
            and self.could_reach(sent.instance, removed_at_s)
            and was_undisturbed(removed_at_s)
        ):
            detail = f"{request_id} ran {self.clock() - removed_at_s:.2f} s after that"
            self.checks.check(Invariant.REMOVED_KEY_REFUSED, False, detail)

    def find_tenant(self, request_id: str) -> TenantId | None:
        """Return the tenant whose key a request has; None if there is none."""
        sent = self._sent.get(request_id)
        return None if sent is None else sent.key.tenant

    def sent_at_s(self, request_id: str) -> float:
        """Return when a caller sent a request, in seconds; -inf if none did."""
        sent = self._sent.get(request_id)
        return -inf if sent is None else sent.at_s

    def check_response(self, request_id: str, status: int) -> None:
        """Check the status of a response that a caller received."""
        sent = self._sent[request_id]
        key, detail = sent.key, f"{request_id}: {status} from {sent.instance}"
        if key.is_certain(True, sent.at_s) and (
            key.added_at_s < 0.0 or self.could_reach(sent.instance, key.added_at_s)
        ):
            is_accepted = status != UNAUTHORIZED
            self.checks.check(Invariant.VALID_KEY_ACCEPTED, is_accepted, detail)
        removed_at_s = key.removed_at_s
        if (
            removed_at_s is not None
            and key.is_certain(False, sent.at_s)
            and (removed_at_s < 0.0 or self.could_reach(sent.instance, removed_at_s))
        ):
            is_refused = status in (UNAUTHORIZED, UNAVAILABLE)
            self.checks.check(Invariant.REMOVED_KEY_REFUSED, is_refused, detail)

    def _valid(self) -> list[Key]:
        return [key for key in self.keys if key.removed_at_s is None]
