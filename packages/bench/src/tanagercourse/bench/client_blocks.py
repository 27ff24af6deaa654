"""Random client blocks, in the number that the users require."""

from random import Random
from socket import AF_INET, AF_INET6, inet_ntop

from tanagercourse.core.ids import SiteId
from tanagercourse.steering.block_map_builder import BlockRow

SITES = tuple(SiteId(f"site-{number}") for number in range(2_100))
IPV4_BLOCKS = 1_100_000
IPV6_BLOCKS = 200_000
# Prefix lengths and their weights, close to the distribution of routed prefixes, in
# which /24 is the most common.
IPV4_LENGTHS = (16, 18, 20, 21, 22, 23, 24, 26)
IPV4_WEIGHTS = (1, 1, 4, 5, 12, 12, 60, 5)
IPV6_LENGTHS = (32, 40, 44, 48, 56)
IPV6_WEIGHTS = (15, 5, 15, 60, 5)


def make_rows(random: Random) -> list[BlockRow]:
    """Return 1.3 million distinct blocks, many of them nested, with random sites."""
    rows = _make_blocks(random, 32, IPV4_BLOCKS, IPV4_LENGTHS, IPV4_WEIGHTS)
    return rows + _make_blocks(random, 128, IPV6_BLOCKS, IPV6_LENGTHS, IPV6_WEIGHTS)


def _make_blocks(
    random: Random,
    bits: int,
    count: int,
    lengths: tuple[int, ...],
    weights: tuple[int, ...],
) -> list[BlockRow]:
    blocks: set[tuple[int, int]] = set()
    while len(blocks) < count:
        missing_count = count - len(blocks)
        for length in random.choices(lengths, weights, k=missing_count):
            blocks.add((random.getrandbits(length) << (bits - length), length))
    sites = random.choices(SITES, k=count)
    return [
        BlockRow(f"{_format_address(network, bits)}/{length}", site)
        for (network, length), site in zip(sorted(blocks), sites, strict=True)
    ]


def _format_address(network: int, bits: int) -> str:
    family = AF_INET if bits == 32 else AF_INET6
    return inet_ntop(family, network.to_bytes(bits // 8))
