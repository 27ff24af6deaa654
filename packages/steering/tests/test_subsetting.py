"""Subsets of instances for services: properties over random regions."""

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
SERVICES = st.lists(
    st.builds(
        ServiceSlots,
        st.integers(0, 30).map(lambda index: ServiceId(f"service-{index}")),
        st.integers(1, 60),
    ),
    max_size=8,
    unique_by=lambda service_slots: service_slots.service,
)


@given(services=SERVICES, instances=INSTANCES, max_running=st.integers(1, 60))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_subsets_contain_only_given_instances_and_ignore_input_order(
    services: list[ServiceSlots], instances: list[InstanceId], max_running: int
) -> None:
    subsets = assign_subsets(services, instances, max_running)
    assert {subset.service for subset in subsets} == {
        service_slots.service for service_slots in services
    }
    for subset in subsets:
        assert subset.instances
        assert set(subset.instances) <= set(instances)
    assert subsets == assign_subsets(services[::-1], instances[::-1], max_running)


@given(services=SERVICES, instances=INSTANCES)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_one_instance_is_assigned_where_it_has_room(
    services: list[ServiceSlots], instances: list[InstanceId]
) -> None:
    max_running = sum(service_slots.slots for service_slots in services)
    for subset in assign_subsets(services, instances, max_running):
        assert len(subset.instances) == 1


@given(instances=INSTANCES, index=st.integers(0, 9))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_removed_instance_moves_only_its_own_services(
    instances: list[InstanceId], index: int
) -> None:
    service_slots = ServiceSlots(ServiceId("motritelj"), 10)
    assigned = assign_subsets([service_slots], instances, 10)[0].instances[0]
    removed = instances[index % len(instances)]
    remaining = [instance for instance in instances if instance != removed]
    if remaining and removed != assigned:
        assert (
            assign_subsets([service_slots], remaining, 10)[0].instances[0] == assigned
        )


def test_service_larger_than_an_instance_gets_several_instances() -> None:
    instances = [InstanceId(f"entry-{index}") for index in range(4)]
    subset = assign_subsets([ServiceSlots(ServiceId("motritelj"), 20)], instances, 12)[
        0
    ]
    assert len(subset.instances) == 2
