"""Slots among instances: use and sheds as load grows."""

from dataclasses import replace

import pytest

from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import baseline_policy, product_policy
from tanagercourse.model.run import run
from tanagercourse.model.scenarios import lost_region, partitioned_zone, steady_load

SEED = 12
DURATION_S = 2.0
FAULT_S = 4.0
SLOT_USE = 0.95


@pytest.mark.parametrize("load", [0.5, 0.9, 3.0])
def test_no_slot_is_idle_while_work_waits(fleet: Fleet, load: float) -> None:
    result = run(fleet, steady_load(DURATION_S, load), product_policy(), SEED)
    assert (
        min(result.slot_utilisation(each.service) for each in fleet.services)
        >= SLOT_USE
    )


def test_instances_that_share_slots_leave_none_idle_in_overload(fleet: Fleet) -> None:
    spread = replace(product_policy(), uses_subsets=False)
    result = run(fleet, steady_load(DURATION_S, 3.0), spread, SEED)
    assert result.slot_utilisation(fleet.services[0].service) >= SLOT_USE


@pytest.mark.parametrize("load", [0.5, 0.9])
def test_upstreams_shed_less_and_serve_no_less_than_with_the_naive_way(
    fleet: Fleet, load: float
) -> None:
    mine = run(fleet, steady_load(DURATION_S, load), product_policy(), SEED).ranks
    naive_ranks = run(
        fleet, steady_load(DURATION_S, load), baseline_policy(), SEED
    ).ranks
    for rank, tally in mine.items():
        assert tally.goodput >= naive_ranks[rank].goodput
    assert sum(tally.sheds for tally in mine.values()) < sum(
        tally.sheds for tally in naive_ranks.values()
    )


@pytest.mark.xfail(
    strict=True,
    reason="KNOWN-RED: slots idle while work waits after a split or a lost region",
)
@pytest.mark.parametrize("fault", ["zone-split", "region-lost"])
def test_no_slot_is_idle_in_faults(fleet: Fleet, fault: str) -> None:
    scenario = partitioned_zone(0, FAULT_S)
    if fault == "region-lost":
        scenario = lost_region(fleet.zones[0].region, FAULT_S)
    result = run(fleet, scenario, product_policy(), SEED)
    assert (
        min(result.slot_utilisation(each.service) for each in fleet.services)
        >= SLOT_USE
    )
