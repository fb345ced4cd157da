"""Token buckets for limits per time window."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentodrift.rate_windows import Bucket, bucket_for

WINDOW = timedelta(seconds=5)


@given(
    st.floats(0.1, 1000),
    st.floats(1, 1000),
    st.lists(st.floats(0, 2), min_size=1, max_size=200),
)
def test_no_window_exceeds_the_limit(
    rate: float, burst: float, pauses: list[float]
) -> None:
    """Guards against a bucket that admits more than the limit in some window."""
    bucket = bucket_for(rate, burst, WINDOW)
    tokens, now, admitted = bucket.burst, 0.0, []
    for pause in pauses:
        now += pause
        tokens = min(bucket.burst, tokens + pause * bucket.rate)
        while tokens >= 1 and len(admitted) < 5000:
            tokens -= 1
            admitted.append(now)
    limit = rate * WINDOW.total_seconds() + burst
    start = 0
    for end, at in enumerate(admitted):
        while at - admitted[start] > WINDOW.total_seconds():
            start += 1
        assert end - start + 1 <= limit + 1e-6


@pytest.mark.parametrize(("rate", "burst"), [(97.0, 97.0), (12.0, 12.0), (5.0, 20.0)])
def test_sustained_load_gets_rate_and_burst(rate: float, burst: float) -> None:
    """Guards against admitting only the rate, without the burst of each window."""
    bucket = bucket_for(rate, burst, WINDOW)
    assert bucket.rate * 5 + bucket.burst == pytest.approx(rate * 5 + burst)
    spread = max(0.0, min(0.6 * burst, burst - 10))
    assert bucket.rate * 5 == pytest.approx(rate * 5 + spread)


def test_zero_window_keeps_rate_and_burst() -> None:
    """Guards against changed limits in deployments that declare no window."""
    assert bucket_for(5.0, 7.0, timedelta(0)) == Bucket(5.0, 7.0)
