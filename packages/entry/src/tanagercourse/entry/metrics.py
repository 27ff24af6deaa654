"""Metrics of an entry instance in the Prometheus exposition format."""

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    generate_latest,
)

from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution
from tanagercourse.core.work import Work

ANSWERED = "answered"


class EntryMetrics:
    """Metrics of one instance, in a registry of its own."""

    content_type = CONTENT_TYPE_LATEST

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "tanagercourse_requests",
            "Requests by outcome",
            ("service", "rank", "outcome", "execution"),
            registry=self._registry,
        )
        self._retries = Counter(
            "tanagercourse_retries",
            "Retries of requests",
            ("service", "reason"),
            registry=self._registry,
        )
        self._in_flight = Gauge(
            "tanagercourse_in_flight",
            "Requests that hold a slot",
            ("service",),
            registry=self._registry,
        )
        self._waiting = Gauge(
            "tanagercourse_waiting",
            "Requests that wait for a slot",
            ("service",),
            registry=self._registry,
        )

    def record_outcome(self, work: Work, refusal: Refusal | None) -> None:
        """Count a finished request by its outcome."""
        outcome = refusal.reason.value if refusal else ANSWERED
        execution = refusal.execution.value if refusal else Execution.RAN.value
        rank = work.rank.value
        self._requests.labels(work.service, rank, outcome, execution).inc()

    def record_retry(self, work: Work, refusal: Refusal) -> None:
        """Count a retry by the reason of the refusal that caused it."""
        self._retries.labels(work.service, refusal.reason.value).inc()

    def set_load(self, service: str, in_flight: int, waiting: int) -> None:
        """Set the gauges of a service's running and waiting requests."""
        self._in_flight.labels(service).set(in_flight)
        self._waiting.labels(service).set(waiting)

    def encode(self) -> bytes:
        """Return all metrics as exposition text."""
        text: bytes = generate_latest(self._registry)
        return text
