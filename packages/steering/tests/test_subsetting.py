"""Where a service's callers meet: properties over random regions."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import InstanceId, ServiceId
from tanagercourse.steering.subsetting import ServiceSlots, assign_subsets

INSTANCES = st.lists(
    st.integers(0, 30).map(lambda index: InstanceId(f"entry-{index}")),
    min_size=1,
    max_size=10,
    unique=True,
)
NEEDS = st.lists(
    st.builds(
        ServiceSlots,
        st.integers(0, 30).map(lambda index: ServiceId(f"service-{index}")),
        st.integers(1, 60),
    ),
    max_size=8,
    unique_by=lambda need: need.service,
)


@given(needs=NEEDS, instances=INSTANCES, places=st.integers(1, 60))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_every_service_meets_at_known_instances_whatever_the_order(
    needs: list[ServiceSlots], instances: list[InstanceId], places: int
) -> None:
    gatherings = assign_subsets(needs, instances, places)
    assert {each.service for each in gatherings} == {need.service for need in needs}
    for gathering in gatherings:
        assert gathering.instances
        assert set(gathering.instances) <= set(instances)
    assert gatherings == assign_subsets(needs[::-1], instances[::-1], places)


@given(needs=NEEDS, instances=INSTANCES)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_one_instance_is_enough_where_there_is_room(
    needs: list[ServiceSlots], instances: list[InstanceId]
) -> None:
    places = sum(need.slots for need in needs)
    for gathering in assign_subsets(needs, instances, places):
        assert len(gathering.instances) == 1


@given(instances=INSTANCES, index=st.integers(0, 9))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_an_instance_that_leaves_moves_only_its_own_callers(
    instances: list[InstanceId], index: int
) -> None:
    need = ServiceSlots(ServiceId("motritelj"), 10)
    before = assign_subsets([need], instances, 10)[0].instances[0]
    gone = instances[index % len(instances)]
    left = [instance for instance in instances if instance != gone]
    if left and gone != before:
        assert assign_subsets([need], left, 10)[0].instances[0] == before


def test_a_service_larger_than_an_instance_meets_at_several() -> None:
    instances = [InstanceId(f"entry-{index}") for index in range(4)]
    gathering = assign_subsets(
        [ServiceSlots(ServiceId("motritelj"), 20)], instances, 12
    )[0]
    assert len(gathering.instances) == 2
