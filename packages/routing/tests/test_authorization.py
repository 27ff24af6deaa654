"""Tests of API keys, tenants and what a tenant changes about its requests."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from returns.result import Failure

from tanagercourse.core.ids import ApiKey, ConfigurationVersion, RegionId, TenantId
from tanagercourse.core.states import RefusalReason
from tanagercourse.routing.authorization import Authorized, authorize
from tanagercourse.routing.configuration import DEFAULT_LIMITS, Configuration, Route
from tanagercourse.routing.tenants import (
    SharedApiKey,
    Tenant,
    make_tenant_directory,
)

KEY = ApiKey(b"key-of-t1")
MakeRoute = Callable[..., Route]


@pytest.fixture
def configuration(make_route: MakeRoute) -> Configuration:
    tenants = make_tenant_directory([(Tenant(TenantId("t1"), priority=2), [KEY])])
    routes = (make_route(), make_route(prefix=b"/public/", is_public=True))
    return Configuration(
        ConfigurationVersion(1), {b"h": routes}, {}, DEFAULT_LIMITS, tenants.unwrap()
    )


@pytest.mark.parametrize(
    ("target", "key", "reason"),
    [
        (b"/a/x", None, RefusalReason.UNAUTHORIZED),
        (b"/a/x", ApiKey(b"key-of-t"), RefusalReason.UNAUTHORIZED),
        (b"/a/x", ApiKey(b""), RefusalReason.UNAUTHORIZED),
        (b"/b/x", KEY, RefusalReason.UNKNOWN_SERVICE),
        (b"/b/x", None, RefusalReason.UNKNOWN_SERVICE),
    ],
)
def test_unknown_key_and_unknown_route_are_told_apart(
    configuration: Configuration,
    target: bytes,
    key: ApiKey | None,
    reason: RefusalReason,
) -> None:
    denied = authorize(configuration, b"h", target, key)
    assert isinstance(denied, Failure) and denied.failure().reason is reason


def test_key_identifies_its_tenant(configuration: Configuration) -> None:
    authorized = authorize(configuration, b"h", b"/a/x", KEY).unwrap()
    assert authorized.tenant is not None and authorized.tenant.tenant_id == "t1"
    # The tenant's priority replaces the route's, which is 0.
    assert authorized.priority == 2


@pytest.mark.parametrize("key", [None, ApiKey(b"unknown")])
def test_public_route_needs_no_key(
    configuration: Configuration, key: ApiKey | None
) -> None:
    authorized = authorize(configuration, b"h", b"/public/x", key).unwrap()
    assert authorized.tenant is None


def test_no_key_is_needed_without_tenants(configuration: Configuration) -> None:
    open_configuration = replace(configuration, tenants=None)
    assert authorize(open_configuration, b"h", b"/a/x", None).unwrap().tenant is None


@pytest.mark.parametrize(
    ("route_homes", "tenant_homes", "allowed"),
    [
        ("", "", None),
        ("a", "", "a"),
        ("", "ab", "ab"),
        ("bc", "ab", "b"),
        ("a", "b", ""),
    ],
)
def test_home_regions_of_route_and_tenant_both_bind(
    make_route: MakeRoute, route_homes: str, tenant_homes: str, allowed: str | None
) -> None:
    route = make_route(home_regions=frozenset(map(RegionId, route_homes)))
    tenant = Tenant(TenantId("t"), home_regions=frozenset(map(RegionId, tenant_homes)))
    expected = None if allowed is None else frozenset(allowed)
    assert Authorized(route, tenant).allowed_regions == expected


def test_key_of_two_tenants_is_reported_without_the_key() -> None:
    shared = make_tenant_directory(
        [(Tenant(TenantId("t1")), [KEY]), (Tenant(TenantId("t2")), [KEY])]
    )
    assert shared == Failure(SharedApiKey(TenantId("t1"), TenantId("t2")))
    assert KEY.decode() not in shared.failure().describe()


def test_key_that_one_tenant_has_twice_is_accepted() -> None:
    directory = make_tenant_directory([(Tenant(TenantId("t1")), [KEY, KEY])]).unwrap()
    assert directory.find(KEY) == Tenant(TenantId("t1"))
