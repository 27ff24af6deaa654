"""Burn rates over several windows, and the alerts that they raise together."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

# The smallest error budget that rates are worked out against, as a share.
MIN_BUDGET_SHARE = 1e-6
# Below this share of a window measured, it can't be called quiet.
MIN_MEASURED_SHARE = 0.95

MINUTE_S = 60
HOUR_S = 3_600
DAY_S = 86_400


@unique
class Alert(Enum):
    """What a service's burn asks of its operators."""

    NONE = "none"
    UNKNOWN = "unknown"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True)
class AlertRule:
    """Raises an alert when both its windows burn faster than a rate.

    Attributes:
        long_window_s: The window that shows it matters, in seconds.
        short_window_s: The window that shows it still goes on, in seconds.
        rate: Multiples of the rate that uses up the budget exactly.
        alert: What it raises.
    """

    long_window_s: int
    short_window_s: int
    rate: float
    alert: Alert


ALERT_RULES = (
    AlertRule(HOUR_S, 5 * MINUTE_S, 14.4, Alert.PAGE),
    AlertRule(6 * HOUR_S, 30 * MINUTE_S, 6.0, Alert.PAGE),
    AlertRule(3 * DAY_S, 6 * HOUR_S, 1.0, Alert.TICKET),
)
ALERT_WINDOWS_S = (5 * MINUTE_S, 30 * MINUTE_S, HOUR_S, 6 * HOUR_S, 3 * DAY_S)


@dataclass(frozen=True)
class WindowBurn:
    """How fast a service burned its error budget in one window.

    Attributes:
        window_s: The window's length, in seconds.
        measured_share: How much of it was measured.
        total: Requests counted.
        bad: Those that were not answered whole in time.
        rate: Multiples of the rate that uses up the budget exactly; None when
            nothing was measured.
    """

    window_s: int
    measured_share: float
    total: int
    bad: int
    rate: float | None


def burn_rate(total: int, bad: int, goodput_target: float) -> float:
    """Return multiples of the rate that uses up the error budget exactly.

    >>> burn_rate(1000, 10, 0.99)
    1.0
    """
    if not total:
        return 0.0
    budget_share = max(1.0 - goodput_target, MIN_BUDGET_SHARE)
    return round(bad / total / budget_share, 9)


def highest_alert(burn_of: Callable[[int], WindowBurn]) -> Alert:
    """Return the gravest alert of all rules.

    Args:
        burn_of: Gives the burn in a window of so many seconds.
    """
    for rule in ALERT_RULES:
        windows = (burn_of(rule.long_window_s), burn_of(rule.short_window_s))
        if all(burn.rate is not None and burn.rate > rule.rate for burn in windows):
            return rule.alert
    is_whole = all(
        burn_of(window_s).measured_share >= MIN_MEASURED_SHARE
        for window_s in ALERT_WINDOWS_S
    )
    return Alert.NONE if is_whole else Alert.UNKNOWN
