"""The checks of tenants and keys find what they are made to find."""

from dataclasses import dataclass, field
from random import Random

import pytest

from tanagercourse.adapter.headers import HEADER_NAMES
from tanagercourse.soak.checks import Checks, Invariant
from tanagercourse.soak.tenants import APPLY_S, Key, TenantKeys


@dataclass
class World:
    """Keys with a clock that tests set; `is_reachable` holds for all instances."""

    checks: Checks
    now_s: float = 100.0
    is_reachable: bool = True
    keys: TenantKeys = field(init=False)

    def __post_init__(self) -> None:
        self.keys = TenantKeys(
            self.checks, lambda: self.now_s, lambda name, since_s: self.is_reachable
        )

    def remove_key(self) -> Key:
        """Add a key, remove it, and return it."""
        self.keys.add(Random(1))
        self.now_s += 2 * APPLY_S
        self.keys.remove(Random(1))
        return self.keys.keys[-1]

    def arrive(self, name: str, passed_key: str = "") -> None:
        headers = (
            (HEADER_NAMES.tenant, name.encode()),
            (b"X-Other", passed_key.encode()),
        )
        self.keys.check_arrival("r", headers, lambda since_s: True)


@pytest.fixture
def world(checks: Checks) -> World:
    return World(checks)


def violated(world: World) -> list[Invariant]:
    return [
        invariant
        for invariant in Invariant
        for line in world.checks.violations
        if line.startswith(invariant.value)
    ]


def test_wrong_tenant_and_passed_key_are_found(world: World) -> None:
    key = world.keys.keys[0]
    world.keys.record_sent("r", key, "i")
    world.arrive(str(key.tenant))
    assert violated(world) == []
    world.arrive("other", f"Bearer {key.secret}")
    assert violated(world) == [Invariant.TENANT_NAMED, Invariant.KEY_NOT_PASSED_ON]


def test_valid_key_that_is_refused_is_found(world: World) -> None:
    world.keys.record_sent("r", world.keys.keys[0], "i")
    world.keys.check_response("r", 401)
    assert violated(world) == [Invariant.VALID_KEY_ACCEPTED]


@pytest.mark.parametrize(
    ("elapsed_s", "is_reachable", "expected"),
    [
        (APPLY_S, True, [Invariant.REMOVED_KEY_REFUSED] * 2),
        (APPLY_S - 0.1, True, []),
        (APPLY_S, False, []),
    ],
)
def test_removed_key_that_is_accepted_is_found(
    world: World, elapsed_s: float, is_reachable: bool, expected: list[Invariant]
) -> None:
    key = world.remove_key()
    world.now_s += elapsed_s
    world.is_reachable = is_reachable
    world.keys.record_sent("r", key, "i")
    world.arrive(str(key.tenant))
    world.keys.check_response("r", 200)
    assert violated(world) == expected
