"""Counters and latency histograms in the Prometheus text format."""

from collections import Counter

# Upper bounds of the latency histogram's buckets, in seconds.
BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
PREFIX = "tanagercourse_"


class Counters:
    """Counters and latency histograms by name and label."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._buckets: dict[tuple[str, str], list[int]] = {}
        self._sums_s: Counter[tuple[str, str]] = Counter()

    def count(self, name: str, label: str = "") -> None:
        """Increment a counter by 1."""
        self._counts[(name, label)] += 1

    def value(self, name: str, label: str = "") -> int:
        """Return a counter's value."""
        return self._counts[(name, label)]

    def observe(self, name: str, label: str, elapsed_s: float) -> None:
        """Add a latency, in seconds, to a histogram."""
        buckets = self._buckets.setdefault((name, label), [0] * (len(BUCKETS_S) + 1))
        self._sums_s[(name, label)] += elapsed_s  # type: ignore[assignment]
        for index, bound_s in enumerate(BUCKETS_S):
            if elapsed_s <= bound_s:
                buckets[index] += 1
                return
        buckets[-1] += 1

    def as_text(self) -> bytes:
        """Return all counters and histograms in the Prometheus text format."""
        lines = [
            f"{PREFIX}{name}_total{_labels(label)} {count}"
            for (name, label), count in sorted(self._counts.items())
        ]
        for (name, label), buckets in sorted(self._buckets.items()):
            cumulative = 0
            for bound, count in zip((*BUCKETS_S, "+Inf"), buckets, strict=True):
                cumulative += count
                labels = _labels(label, f'le="{bound}"')
                lines.append(f"{PREFIX}{name}_seconds_bucket{labels} {cumulative}")
            lines.append(f"{PREFIX}{name}_seconds_count{_labels(label)} {cumulative}")
            sum_s = self._sums_s[(name, label)]
            lines.append(f"{PREFIX}{name}_seconds_sum{_labels(label)} {sum_s:.3f}")
        return ("\n".join(lines) + "\n").encode()


def _labels(label: str, *extra_pairs: str) -> str:
    pairs = [f'of="{label}"'] if label else []
    pairs += extra_pairs
    return "{" + ",".join(pairs) + "}" if pairs else ""
