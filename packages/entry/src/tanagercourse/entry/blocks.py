"""The client block maps that an entry instance uses now, one for each team."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, SiteId, TeamId, ZoneId
from tanagercourse.core.problems import InvalidField
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.settings.blocks import (
    BlocksManifest,
    decode_manifest,
    decode_part,
    join_parts,
)
from tanagercourse.settings.paths import blocks_part_path, blocks_path, team_of
from tanagercourse.steering.blocks import Address, BlockMap
from tanagercourse.steering.segments import Segments


@dataclass(frozen=True)
class TeamBlocks:
    """A team's complete block map.

    Attributes:
        blocks: Maps IP addresses to sites.
        zones: The availability zone that serves each site.
    """

    blocks: BlockMap
    zones: Mapping[SiteId, ZoneId]

    def zone_of(self, address: Address) -> ZoneId | None:
        """Return the zone that serves an address, or None if no block contains it."""
        site = self.blocks.site_of(address)
        return self.zones.get(site) if site is not None else None


class ActiveBlockMaps:
    """The newest complete block map of each team.

    A manifest is applied once all parts that it names were received. Until then the
    team's previous map stays active.
    """

    def __init__(self) -> None:
        self._maps: dict[TeamId, TeamBlocks] = {}
        self._manifests: dict[TeamId, BlocksManifest] = {}
        self._parts: dict[ObjectPath, Segments] = {}

    def team(self, team: TeamId) -> TeamBlocks | None:
        """Return a team's map, or None if the team has none."""
        return self._maps.get(team)

    def teams(self) -> tuple[TeamBlocks, ...]:
        """Return the maps of all teams, in order of team name."""
        return tuple(self._maps[team] for team in sorted(self._maps))

    def apply(self, stored: StoredObject) -> InvalidField | None:
        """Apply a manifest or a part of a map.

        Args:
            stored: The object, newer than any object applied before at its path.

        Returns:
            The problem of an object that can't be applied; the previous map stays
            active.
        """
        team = team_of(stored.path)
        if team is None:
            return None
        if stored.path == blocks_path(team):
            return self._apply_manifest(team, stored)
        if stored.path.startswith(blocks_part_path(team, "")):
            return self._apply_part(team, stored)
        return None

    def _apply_manifest(
        self, team: TeamId, stored: StoredObject
    ) -> InvalidField | None:
        if stored.state is ObjectState.DELETED:
            self._manifests.pop(team, None)
            self._maps.pop(team, None)
            return None
        decoded = decode_manifest(stored.path, stored.value)
        if isinstance(decoded, Failure):
            invalid: InvalidField = decoded.failure()
            return invalid
        self._manifests[team] = decoded.unwrap()
        return self._activate_if_complete(team)

    def _apply_part(self, team: TeamId, stored: StoredObject) -> InvalidField | None:
        if stored.state is ObjectState.DELETED:
            self._parts.pop(stored.path, None)
            return None
        decoded = decode_part(stored.path, stored.value)
        if isinstance(decoded, Failure):
            invalid: InvalidField = decoded.failure()
            return invalid
        self._parts[stored.path] = decoded.unwrap()
        return self._activate_if_complete(team)

    def _activate_if_complete(self, team: TeamId) -> InvalidField | None:
        """Apply a team's manifest if all parts that it names were received."""
        manifest = self._manifests.get(team)
        if manifest is None:
            return None
        paths = {
            digest: blocks_part_path(team, digest) for digest in manifest.digests()
        }
        if any(path not in self._parts for path in paths.values()):
            return None
        parts = {digest: self._parts[path] for digest, path in paths.items()}
        block_map: Result[BlockMap, InvalidField]
        block_map = join_parts(blocks_path(team), manifest, parts)
        if isinstance(block_map, Failure):
            invalid: InvalidField = block_map.failure()
            return invalid
        self._maps[team] = TeamBlocks(block_map.unwrap(), manifest.zones())
        return None
