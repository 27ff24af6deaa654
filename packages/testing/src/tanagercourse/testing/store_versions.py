"""Versions of a store for tests."""

from tanagercourse.platform.reading import Era, Revision, StoreVersion

FIRST_ERA = Era(1)


def at(revision: int, era: int = FIRST_ERA) -> StoreVersion:
    """Return the version with a revision, of the first era unless another is given."""
    return StoreVersion(Era(era), Revision(revision))
