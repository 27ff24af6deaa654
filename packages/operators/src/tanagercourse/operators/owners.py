"""Decide which team owns the settings at a path and may change them."""

from dataclasses import dataclass

from tanagercourse.core.ids import ObjectPath, TeamId
from tanagercourse.core.problems import InvalidField, Problem
from tanagercourse.settings.check import FLEET_PATH
from tanagercourse.settings.paths import service_of, team_of

# The owner of the fleet's settings, which apply to all services.
FLEET_TEAM = TeamId("fleet")


@dataclass(frozen=True)
class NotOwner(Problem):
    """A team tried to change settings that belong to another team.

    Attributes:
        path: The path of the settings.
        team: The team that tried to change them.
        owner: The team that owns them.
    """

    path: ObjectPath
    team: TeamId
    owner: TeamId

    def describe(self) -> str:
        """Return a message that names the owner and the ways to make the change."""
        return (
            f"{self.path} belongs to team {self.owner}, not to {self.team}: "
            f"ask team {self.owner} for the change, or pass --team {self.owner} "
            "if you act on its behalf"
        )


def owner_of(path: ObjectPath) -> TeamId | None:
    """Return the team that owns the settings at a path, None if no team does.

    >>> owner_of(ObjectPath("/teams/preljev/services/motritelj"))
    'preljev'
    >>> owner_of(ObjectPath("/system/fleet"))
    'fleet'
    """
    return FLEET_TEAM if path == FLEET_PATH else team_of(path)


def check_owner(path: ObjectPath, team: TeamId) -> NotOwner | InvalidField | None:
    """Check that a path holds settings and that a team owns them.

    Returns:
        None if the team may change the settings, otherwise the reason why not.
    """
    owner = owner_of(path)
    is_setting = path == FLEET_PATH or service_of(path) is not None
    if owner is None or not is_setting:
        allowed = f"/teams/TEAM/services/SERVICE or {FLEET_PATH}"
        return InvalidField("arguments", "PATH", path, allowed)
    return None if owner == team else NotOwner(path, team, owner)
