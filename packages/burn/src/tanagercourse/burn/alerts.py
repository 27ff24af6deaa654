"""Compute burn rates and the alerts that they raise over several windows."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

# Lower limit of the error budget, as a share of requests. It keeps the burn rate
# finite for a goodput target of 1.
MIN_BUDGET_SHARE = 1e-6
# A window of which less than this share was measured cannot count as free of alerts.
MIN_MEASURED_SHARE = 0.95

MINUTE_S = 60
HOUR_S = 3_600
DAY_S = 86_400


@unique
class Alert(Enum):
    """The reaction that a service's burn requires of its operators.

    Attributes:
        NONE: The burn is within its limits.
        UNKNOWN: Too little was measured to rule out an alert.
        TICKET: The burn needs attention, but not at once.
        PAGE: The burn needs immediate attention.
    """

    NONE = "none"
    UNKNOWN = "unknown"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True)
class AlertRule:
    """A rule that raises an alert when both of its windows exceed a burn rate.

    Attributes:
        long_window_s: Length of the window that shows the burn is significant, in
            seconds.
        short_window_s: Length of the window that shows the burn is still going on,
            in seconds.
        rate: The burn rate to exceed, as a multiple of the rate that uses up the
            error budget exactly by the end of the period.
        alert: The alert that the rule raises.
    """

    long_window_s: int
    short_window_s: int
    rate: float
    alert: Alert


# At these rates, the long windows use up 20%, 50% and 100% of the error budget of three
# days.
ALERT_RULES = (
    AlertRule(HOUR_S, 5 * MINUTE_S, 14.4, Alert.PAGE),
    AlertRule(6 * HOUR_S, 30 * MINUTE_S, 6.0, Alert.PAGE),
    AlertRule(3 * DAY_S, 6 * HOUR_S, 1.0, Alert.TICKET),
)
ALERT_WINDOWS_S = (5 * MINUTE_S, 30 * MINUTE_S, HOUR_S, 6 * HOUR_S, 3 * DAY_S)


@dataclass(frozen=True)
class WindowBurn:
    """The burn of a service's error budget in one window.

    Attributes:
        window_s: The window's length, in seconds.
        measured_share: The share of the window that was measured, from 0 to 1.
        total: The number of requests.
        bad: The number of requests without a complete response in time.
        rate: The burn rate, as a multiple of the rate that uses up the error budget
            exactly; None if nothing was measured.
    """

    window_s: int
    measured_share: float
    total: int
    bad: int
    rate: float | None


def burn_rate(total: int, bad: int, goodput_target: float) -> float:
    """Return the burn rate; 1.0 uses up the error budget exactly.

    Args:
        total: The number of requests.
        bad: The number of bad requests among them.
        goodput_target: The share of requests that should be good, from 0 to 1.

    >>> burn_rate(1000, 10, 0.99)
    1.0
    """
    if not total:
        return 0.0
    budget_share = max(1.0 - goodput_target, MIN_BUDGET_SHARE)
    return round(bad / total / budget_share, 9)


def highest_alert(burn_of: Callable[[int], WindowBurn]) -> Alert:
    """Return the most severe alert that any rule raises.

    Args:
        burn_of: Returns the burn in a window of the given length in seconds.

    Returns:
        The alert; without one, UNKNOWN if too little of any window was measured.
    """
    # The rules are sorted by severity, the most severe first.
    for rule in ALERT_RULES:
        burns = (burn_of(rule.long_window_s), burn_of(rule.short_window_s))
        if all(burn.rate is not None and burn.rate > rule.rate for burn in burns):
            return rule.alert
    is_measured = all(
        burn_of(window_s).measured_share >= MIN_MEASURED_SHARE
        for window_s in ALERT_WINDOWS_S
    )
    return Alert.NONE if is_measured else Alert.UNKNOWN
