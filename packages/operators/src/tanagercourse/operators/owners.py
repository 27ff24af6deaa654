"""Which team may change which settings."""

from dataclasses import dataclass

from tanagercourse.core.ids import ObjectPath, TeamId
from tanagercourse.core.problems import InvalidField, Problem
from tanagercourse.settings.check import FLEET_PATH
from tanagercourse.settings.paths import service_of, team_of

# The team that owns what is common to all services.
FLEET_TEAM = TeamId("fleet")


@dataclass(frozen=True)
class NotOwner(Problem):
    """A team tried to change another team's settings.

    Attributes:
        path: The settings.
        team: Who tried.
        owner: Whose they are.
    """

    path: ObjectPath
    team: TeamId
    owner: TeamId

    def describe(self) -> str:
        """Tell a person whose settings these are and what to do."""
        return (
            f"{self.path} belongs to team {self.owner}, not to {self.team}: "
            f"ask {self.owner} for the change, or give --team {self.owner} "
            "if you act for it"
        )


def owner_of(path: ObjectPath) -> TeamId | None:
    """Return the team that may change the settings at a path.

    >>> owner_of(ObjectPath("/teams/preljev/services/motritelj"))
    'preljev'
    >>> owner_of(ObjectPath("/system/fleet"))
    'fleet'
    """
    return FLEET_TEAM if path == FLEET_PATH else team_of(path)


def check_owner(path: ObjectPath, team: TeamId) -> NotOwner | InvalidField | None:
    """Return why a team may not change a path, None when it may."""
    owner = owner_of(path)
    is_setting = path == FLEET_PATH or service_of(path) is not None
    if owner is None or not is_setting:
        allowed = f"/teams/TEAM/services/SERVICE or {FLEET_PATH}"
        return InvalidField("arguments", "PATH", path, allowed)
    return None if owner == team else NotOwner(path, team, owner)
