"""Client blocks: look-ups agree with a naive search for the longest prefix."""

import ipaddress
from collections.abc import Callable, Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import SiteId
from tanagercourse.steering.blocks import BlockMap, parse_address
from tanagercourse.steering.flatten import BlockRow, build_map

SITES = (SiteId("a"), SiteId("b"), SiteId("c"))
Sites = Mapping[str, SiteId]


def build(sites: Sites) -> BlockMap:
    rows = [BlockRow(block, site) for block, site in sites.items()]
    return build_map(rows, SITES, "test").unwrap()


def naive_site(sites: Sites, client: str) -> SiteId | None:
    """Return the site of the longest of all blocks that hold an address."""
    address = ipaddress.ip_address(client)
    holding = [
        (network.prefixlen, site)
        for network, site in (
            (ipaddress.ip_network(block), site) for block, site in sites.items()
        )
        if address in network
    ]
    return max(holding)[1] if holding else None


def block_near_edges(
    bits: int, to_text: Callable[[int], str]
) -> st.SearchStrategy[str]:
    """Draw blocks that nest and touch: few leading bits differ."""

    def make(top: int, fill: int, length: int) -> str:
        value = (top << (bits - 3)) | (fill * ((1 << (bits - 3)) - 1))
        host = (1 << (bits - length)) - 1
        return f"{to_text(value & ~host)}/{length}"

    lengths = st.integers(0, bits)
    return st.builds(make, st.integers(0, 7), st.integers(0, 1), lengths)


def ipv4_text(value: int) -> str:
    return str(ipaddress.IPv4Address(value))


def ipv6_text(value: int) -> str:
    return str(ipaddress.IPv6Address(value))


BLOCKS = st.one_of(block_near_edges(32, ipv4_text), block_near_edges(128, ipv6_text))


def edges(block: str) -> list[str]:
    """Return a block's edges and the addresses beside them, but mapped IPv4 ones."""
    network = ipaddress.ip_network(block)
    first, last = int(network.network_address), int(network.broadcast_address)
    to_text = ipv4_text if network.version == 4 else ipv6_text
    top = 2**network.max_prefixlen
    texts = [to_text(n % top) for n in (first - 1, first, last, last + 1)]
    return [text for text in texts if not text.startswith("::ffff:")]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.dictionaries(BLOCKS, st.sampled_from(SITES), max_size=12))
def test_lookups_agree_with_the_naive_search(sites: Sites) -> None:
    found = build(sites)
    clients = [client for block in sites for client in edges(block)]
    clients += ["::", "0.0.0.0", "255.255.255.255"]
    wanted = [naive_site(sites, client) for client in clients]
    addresses = [parse_address(client, "test").unwrap() for client in clients]
    assert [found.site_of(address) for address in addresses] == wanted
    assert list(found.sites_of(addresses)) == wanted


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
def test_bad_row_is_named(block: str, site: str, field: str) -> None:
    rows = [BlockRow("192.0.2.0/24", SITES[0]), BlockRow(block, SiteId(site))]
    problem = build_map(rows, SITES, "/teams/water/blocks").failure()
    assert problem.field == field
    assert problem.source == "/teams/water/blocks"


def test_too_many_sites_are_refused() -> None:
    sites = [SiteId(str(number)) for number in range(70_000)]
    assert build_map([], sites, "test").failure().field == "sites"


@pytest.mark.parametrize("text", ["", "10.0.0", "10.0.0.256", "::g", "1::2::3", "a\0"])
def test_bad_address_is_refused(text: str) -> None:
    assert parse_address(text, "look-up").failure().field == "client"
