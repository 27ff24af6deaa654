"""Counters and latency histograms in the Prometheus text format."""

from collections import Counter

from tanagercourse.core.ids import TenantId

# Upper bounds of the latency histogram's buckets, in seconds.
BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
PREFIX = "tanagercourse_"
# Maximum number of tenants with series of their own; the rest is summed up.
MAX_TENANT_SERIES = 20
OTHER_TENANTS = "other"


class Counters:
    """Counters and latency histograms by name and label."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._buckets: dict[tuple[str, str], list[int]] = {}
        self._sums_s: Counter[tuple[str, str]] = Counter()
        self._tenant_counts: dict[str, Counter[TenantId]] = {}

    def count_for_tenant(self, name: str, tenant: TenantId | None) -> None:
        """Increment a tenant's counter by 1; do nothing for requests without one."""
        if tenant is not None:
            self._tenant_counts.setdefault(name, Counter())[tenant] += 1

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
        for name, counts in sorted(self._tenant_counts.items()):
            lines += self._tenant_lines(name, counts)
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

    def _tenant_lines(self, name: str, counts: Counter[TenantId]) -> list[str]:
        """Return the series of the tenants with the most requests, by all counters."""
        requests: Counter[TenantId] = Counter()
        for counted in self._tenant_counts.values():
            requests.update(counted)
        named = {tenant for tenant, _ in requests.most_common(MAX_TENANT_SERIES)}
        lines = [
            f"{PREFIX}tenant_{name}_total{_labels(tenant)} {count}"
            for tenant, count in sorted(counts.items())
            if tenant in named
        ]
        other_count = sum(n for tenant, n in counts.items() if tenant not in named)
        if other_count:
            label = _labels(OTHER_TENANTS)
            lines.append(f"{PREFIX}tenant_{name}_total{label} {other_count}")
        return lines


def _labels(label: str, *extra_pairs: str) -> str:
    escaped = label.replace("\\", "\\\\").replace('"', '\\"')
    pairs = [f'of="{escaped}"'] if label else []
    pairs += extra_pairs
    return "{" + ",".join(pairs) + "}" if pairs else ""
