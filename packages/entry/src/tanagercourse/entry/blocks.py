"""The maps of client blocks that an entry instance has in force, one for each team."""

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
    """One team's whole map, and the zone of each of its sites."""

    blocks: BlockMap
    zones: Mapping[SiteId, ZoneId]

    def zone_of(self, address: Address) -> ZoneId | None:
        """Return the zone that serves an address, None when no block holds it."""
        site = self.blocks.site_of(address)
        return self.zones.get(site) if site is not None else None


class ActiveBlockMaps:
    """Each team's newest whole map.

    A manifest comes into force once every part that it names is here; until then
    the team's former map stays.
    """

    def __init__(self) -> None:
        self._maps: dict[TeamId, TeamBlocks] = {}
        self._manifests: dict[TeamId, BlocksManifest] = {}
        self._parts: dict[ObjectPath, Segments] = {}

    def team(self, team: TeamId) -> TeamBlocks | None:
        """Return a team's map, or None when it has none."""
        return self._maps.get(team)

    def teams(self) -> tuple[TeamBlocks, ...]:
        """Return every team's map, in the order of the teams' names."""
        return tuple(self._maps[team] for team in sorted(self._maps))

    def apply(self, stored: StoredObject) -> InvalidField | None:
        """Take one object of a map, of a newer version than any before at its path.

        Returns:
            What is wrong with it, if anything; the former map stays.
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
            refused: InvalidField = decoded.failure()
            return refused
        self._manifests[team] = decoded.unwrap()
        return self._join(team)

    def _apply_part(self, team: TeamId, stored: StoredObject) -> InvalidField | None:
        if stored.state is ObjectState.DELETED:
            self._parts.pop(stored.path, None)
            return None
        decoded = decode_part(stored.path, stored.value)
        if isinstance(decoded, Failure):
            refused: InvalidField = decoded.failure()
            return refused
        self._parts[stored.path] = decoded.unwrap()
        return self._join(team)

    def _join(self, team: TeamId) -> InvalidField | None:
        """Put a team's map in force if every part is here, and let go of the parts."""
        manifest = self._manifests.get(team)
        if manifest is None:
            return None
        paths = {
            digest: blocks_part_path(team, digest) for digest in manifest.digests()
        }
        if any(path not in self._parts for path in paths.values()):
            return None
        parts = {digest: self._parts[path] for digest, path in paths.items()}
        joined: Result[BlockMap, InvalidField]
        joined = join_parts(blocks_path(team), manifest, parts)
        if isinstance(joined, Failure):
            refused: InvalidField = joined.failure()
            return refused
        self._maps[team] = TeamBlocks(joined.unwrap(), manifest.zones())
        return None
