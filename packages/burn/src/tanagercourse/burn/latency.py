"""Record latency in histograms accurate to 1%, in an encoding that can be merged."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
US_PER_MS = 1_000


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record_latency(histogram: HdrHistogram, latency_s: float) -> None:
    """Count one latency, in seconds, clamped to the histogram's range."""
    latency_us = round(latency_s * US_PER_S)
    histogram.record_value(min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US))


def encode_histogram(histogram: HdrHistogram) -> str:
    """Return a histogram as compressed ASCII text."""
    return str(histogram.encode().decode("ascii"))


def decode_histogram(text: str) -> HdrHistogram | None:
    """Decode a histogram; None if the text is damaged or has another layout."""
    try:
        histogram = HdrHistogram.decode(text.encode())
    except Exception:  # The library raises zlib.error, struct.error and many others.
        return None
    has_expected_layout = (
        histogram.lowest_trackable_value == MIN_LATENCY_US
        and histogram.highest_trackable_value == MAX_LATENCY_US
        and histogram.significant_figures == SIGNIFICANT_DIGITS
    )
    return histogram if has_expected_layout else None


def merge_histograms(texts: Iterable[str]) -> str | None:
    """Return the sum of encoded histograms, None if one of them is damaged."""
    merged = new_histogram()
    for text in texts:
        histogram = decode_histogram(text)
        if histogram is None:
            return None
        merged.add(histogram)
    return encode_histogram(merged)


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float | None:
    """Return a percentile in milliseconds, None if the histogram is empty."""
    if not histogram.get_total_count():
        return None
    return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS
