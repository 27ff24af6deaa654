"""Block maps: look-ups agree with a linear search for the longest prefix."""

import ipaddress
from collections.abc import Callable, Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import SiteId
from tanagercourse.steering.block_map_builder import BlockRow, build_map
from tanagercourse.steering.blocks import BlockMap, parse_address

SITES = (SiteId("a"), SiteId("b"), SiteId("c"))
SiteByBlock = Mapping[str, SiteId]


def build(site_by_block: SiteByBlock) -> BlockMap:
    rows = [BlockRow(block, site) for block, site in site_by_block.items()]
    return build_map(rows, SITES, "test").unwrap()


def linear_search(site_by_block: SiteByBlock, client: str) -> SiteId | None:
    """Return the site of the longest block that contains an address."""
    address = ipaddress.ip_address(client)
    matches = [
        (network.prefixlen, site)
        for network, site in (
            (ipaddress.ip_network(block), site) for block, site in site_by_block.items()
        )
        if address in network
    ]
    return max(matches)[1] if matches else None


def overlapping_blocks(
    bits: int, to_text: Callable[[int], str]
) -> st.SearchStrategy[str]:
    """Generate nested and adjacent blocks, which differ in the top 3 bits only."""

    def make_block(top_bits: int, fill_bit: int, length: int) -> str:
        value = (top_bits << (bits - 3)) | (fill_bit * ((1 << (bits - 3)) - 1))
        host_mask = (1 << (bits - length)) - 1
        return f"{to_text(value & ~host_mask)}/{length}"

    lengths = st.integers(0, bits)
    return st.builds(make_block, st.integers(0, 7), st.integers(0, 1), lengths)


def ipv4_text(value: int) -> str:
    return str(ipaddress.IPv4Address(value))


def ipv6_text(value: int) -> str:
    return str(ipaddress.IPv6Address(value))


BLOCKS = st.one_of(
    overlapping_blocks(32, ipv4_text), overlapping_blocks(128, ipv6_text)
)


def boundary_addresses(block: str) -> list[str]:
    """Return the first and last address of a block and their neighbours.

    IPv4-mapped IPv6 addresses are left out, as they are looked up as IPv4.
    """
    network = ipaddress.ip_network(block)
    first, last = int(network.network_address), int(network.broadcast_address)
    to_text = ipv4_text if network.version == 4 else ipv6_text
    address_count = 2**network.max_prefixlen
    texts = [
        to_text(value % address_count) for value in (first - 1, first, last, last + 1)
    ]
    return [text for text in texts if not text.startswith("::ffff:")]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.dictionaries(BLOCKS, st.sampled_from(SITES), max_size=12))
def test_lookups_agree_with_a_linear_search(site_by_block: SiteByBlock) -> None:
    block_map = build(site_by_block)
    clients = [
        client for block in site_by_block for client in boundary_addresses(block)
    ]
    clients += ["::", "0.0.0.0", "255.255.255.255"]
    expected = [linear_search(site_by_block, client) for client in clients]
    addresses = [parse_address(client, "test").unwrap() for client in clients]
    assert [block_map.site_of(address) for address in addresses] == expected
    assert list(block_map.sites_of(addresses)) == expected


@pytest.mark.parametrize(
    ("block", "site", "field"),
    [
        ("10.0.0.0", "a", "blocks[1].block"),
        ("10.0.0.0/", "a", "blocks[1].block"),
        ("10.0.0.0/33", "a", "blocks[1].block"),
        ("10.0.0.0/-1", "a", "blocks[1].block"),
        ("10.0.0.1/24", "a", "blocks[1].block"),
        ("2001:db8::1/64", "a", "blocks[1].block"),
        ("2001:db8::/129", "a", "blocks[1].block"),
        ("2001:db8::%1/64", "a", "blocks[1].block"),
        ("10.0.0\0.0/24", "a", "blocks[1].block"),
        ("10.0.0.0/\u0668", "a", "blocks[1].block"),
        ("192.0.2.0/24", "b", "blocks[1].block"),
        ("10.0.0.0/8", "z", "blocks[1].site"),
    ],
)
def test_invalid_row_is_reported(block: str, site: str, field: str) -> None:
    rows = [BlockRow("192.0.2.0/24", SITES[0]), BlockRow(block, SiteId(site))]
    problem = build_map(rows, SITES, "/teams/water/blocks").failure()
    assert problem.field == field
    assert problem.source == "/teams/water/blocks"


def test_too_many_sites_are_refused() -> None:
    sites = [SiteId(str(number)) for number in range(70_000)]
    assert build_map([], sites, "test").failure().field == "sites"


@pytest.mark.parametrize("text", ["", "10.0.0", "10.0.0.256", "::g", "1::2::3", "a\0"])
def test_invalid_address_is_refused(text: str) -> None:
    assert parse_address(text, "look-up").failure().field == "client"
