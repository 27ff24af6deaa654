"""Paths of the objects that the platform keeps."""

from tanagercourse.core.ids import ObjectPath, ServiceId, TeamId

TEAMS_PREFIX = ObjectPath("/teams/")
SYSTEM_PREFIX = ObjectPath("/system/")
STATUS_PREFIX = ObjectPath("/system/status/")
# Histories stand outside the subtrees that instances follow, so they never spread.
HISTORY_PREFIX = ObjectPath("/history")


def service_path(team: TeamId, service: ServiceId) -> ObjectPath:
    """Return the path of a service's settings.

    >>> service_path(TeamId("water"), ServiceId("motritelj"))
    '/teams/water/services/motritelj'
    """
    return ObjectPath(f"{TEAMS_PREFIX}{team}/services/{service}")


def blocks_path(team: TeamId) -> ObjectPath:
    """Return the path of a team's map from client blocks to sites."""
    return ObjectPath(f"{TEAMS_PREFIX}{team}/blocks")


def blocks_part_path(team: TeamId, digest: str) -> ObjectPath:
    """Return the path of one part of a team's map."""
    return ObjectPath(f"{blocks_path(team)}/parts/{digest}")


def is_blocks_path(path: ObjectPath) -> bool:
    """Whether a path holds a team's map or a part of it.

    >>> is_blocks_path(ObjectPath("/teams/water/blocks/parts/00"))
    True
    """
    team = team_of(path)
    if team is None:
        return False
    whole = blocks_path(team)
    return path == whole or path.startswith(f"{whole}/")


def claim_path(service: ServiceId) -> ObjectPath:
    """Return the path of the object that names the one team of a service.

    >>> claim_path(ServiceId("motritelj"))
    '/system/services/motritelj'
    """
    return ObjectPath(f"{SYSTEM_PREFIX}services/{service}")


def history_path(path: ObjectPath) -> ObjectPath:
    """Return where the earlier versions of an object are kept.

    >>> history_path(ObjectPath("/system/fleet"))
    '/history/system/fleet'
    """
    return ObjectPath(f"{HISTORY_PREFIX}{path}")


def team_of(path: ObjectPath) -> TeamId | None:
    """Return the team whose subtree holds a path, or None outside all of them.

    >>> team_of(ObjectPath("/teams/water/services/motritelj"))
    'water'
    """
    if not path.startswith(TEAMS_PREFIX):
        return None
    team, _, rest = path.removeprefix(TEAMS_PREFIX).partition("/")
    return TeamId(team) if team and rest else None


def service_of(path: ObjectPath) -> ServiceId | None:
    """Return the service whose settings stand at a path, or None.

    >>> service_of(ObjectPath("/teams/water/services/motritelj"))
    'motritelj'
    """
    steps = path.split("/")
    is_service = len(steps) == 5 and steps[1] == "teams" and steps[3] == "services"
    return ServiceId(steps[4]) if is_service and steps[4] else None
