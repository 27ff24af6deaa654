"""Measures: the product's figure with the baseline's and a target."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, unique


@unique
class Bound(Enum):
    """Whether a target is a lower or an upper limit."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


@dataclass(frozen=True)
class Target:
    """The limit that the product's figure has to meet."""

    bound: Bound
    value: float


@dataclass(frozen=True)
class Measure:
    """One measured figure.

    Attributes:
        name: Name by group, such as "lookup/http/rate".
        unit: Unit of the figures.
        ours: Figure of the product.
        naive: Figure of the baseline in the same run, None without a baseline.
        target: Limit for the product's figure, None without one.
    """

    name: str
    unit: str
    ours: float
    naive: float | None = None
    target: Target | None = None

    @property
    def ratio(self) -> float | None:
        """Return the product's figure over the baseline's, None without a baseline.

        >>> Measure("lookup/memory", "MB", 24.0, 48.0).ratio
        0.5
        """
        return self.ours / self.naive if self.naive else None

    @property
    def is_met(self) -> bool | None:
        """Return whether the target is met, None without a target.

        >>> Measure("rate", "1/s", 5.0, target=Target(Bound.AT_LEAST, 4.0)).is_met
        True
        """
        if self.target is None:
            return None
        if self.target.bound is Bound.AT_LEAST:
            return self.ours >= self.target.value
        return self.ours <= self.target.value


# Called with a seed; returns the measures of a group, in the order of measurement.
MeasureGroup = Callable[[int], Iterable[Measure]]
