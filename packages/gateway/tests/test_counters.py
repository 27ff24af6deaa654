"""Tests of the metrics that operators read."""

import pytest

from tanagercourse.core.ids import TenantId
from tanagercourse.gateway.counters import MAX_TENANT_SERIES, Counters


@pytest.fixture
def counters() -> Counters:
    return Counters()


def test_number_of_tenant_series_is_bounded(counters: Counters) -> None:
    # A configuration may have thousands of tenants, and each series costs memory.
    for number in range(3 * MAX_TENANT_SERIES):
        for _ in range(number + 1):
            counters.count_for_tenant("answered", TenantId(f"t{number}"))
    counters.count_for_tenant("refused", TenantId("t0"))
    lines = counters.as_text().decode().splitlines()
    answered = [line for line in lines if "tenant_answered" in line]
    assert len(answered) == MAX_TENANT_SERIES + 1
    assert 'tanagercourse_tenant_answered_total{of="t59"} 60' in answered
    assert 'tanagercourse_tenant_answered_total{of="other"} 820' in answered
    assert 'tanagercourse_tenant_refused_total{of="other"} 1' in lines


def test_request_without_a_tenant_is_not_counted(counters: Counters) -> None:
    counters.count_for_tenant("answered", None)
    assert counters.as_text() == b"\n"


def test_name_of_a_tenant_is_escaped(counters: Counters) -> None:
    counters.count_for_tenant("answered", TenantId('a"b'))
    assert rb'{of="a\"b"} 1' in counters.as_text()
