"""Paths of objects in the platform's store."""

from tanagercourse.core.ids import ObjectPath, ServiceId, TeamId

TEAMS_PREFIX = ObjectPath("/teams/")
SYSTEM_PREFIX = ObjectPath("/system/")
STATUS_PREFIX = ObjectPath("/system/status/")
# Histories are outside the subtrees that instances watch, so instances do not receive
# them.
HISTORY_PREFIX = ObjectPath("/history")


def service_path(team: TeamId, service: ServiceId) -> ObjectPath:
    """Return the path of a service's settings.

    >>> service_path(TeamId("water"), ServiceId("motritelj"))
    '/teams/water/services/motritelj'
    """
    return ObjectPath(f"{TEAMS_PREFIX}{team}/services/{service}")


def blocks_path(team: TeamId) -> ObjectPath:
    """Return the path of the manifest of a team's map from client blocks to sites."""
    return ObjectPath(f"{TEAMS_PREFIX}{team}/blocks")


def blocks_part_path(team: TeamId, digest: str) -> ObjectPath:
    """Return the path of one part of a team's map."""
    return ObjectPath(f"{blocks_path(team)}/parts/{digest}")


def is_blocks_path(path: ObjectPath) -> bool:
    """Return whether a path belongs to a team's client block map.

    >>> is_blocks_path(ObjectPath("/teams/water/blocks/parts/00"))
    True
    """
    team = team_of(path)
    if team is None:
        return False
    manifest_path = blocks_path(team)
    return path == manifest_path or path.startswith(f"{manifest_path}/")


def claim_path(service: ServiceId) -> ObjectPath:
    """Return the path of the object that records which team owns a service.

    >>> claim_path(ServiceId("motritelj"))
    '/system/services/motritelj'
    """
    return ObjectPath(f"{SYSTEM_PREFIX}services/{service}")


def history_path(path: ObjectPath) -> ObjectPath:
    """Return the path of the history of an object's earlier versions.

    >>> history_path(ObjectPath("/system/fleet"))
    '/history/system/fleet'
    """
    return ObjectPath(f"{HISTORY_PREFIX}{path}")


def team_of(path: ObjectPath) -> TeamId | None:
    """Return the team whose subtree contains a path, or None if there is none.

    >>> team_of(ObjectPath("/teams/water/services/motritelj"))
    'water'
    """
    if not path.startswith(TEAMS_PREFIX):
        return None
    team, _, rest = path.removeprefix(TEAMS_PREFIX).partition("/")
    return TeamId(team) if team and rest else None


def service_of(path: ObjectPath) -> ServiceId | None:
    """Return the service whose settings a path addresses, or None.

    >>> service_of(ObjectPath("/teams/water/services/motritelj"))
    'motritelj'
    """
    components = path.split("/")
    is_service_path = (
        len(components) == 5
        and components[1] == "teams"
        and components[3] == "services"
    )
    return ServiceId(components[4]) if is_service_path and components[4] else None
