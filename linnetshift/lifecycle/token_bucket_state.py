"""The fill levels of the contracts' token buckets in the state that a successor takes over."""

from __future__ import annotations

from linnetshift.broker.contracts import Contracts
from linnetshift.util.token_bucket import TokenBucket

TokenBucketState = list[float]  # level in tokens, and the time in ns for which it was computed


def export_token_buckets(contracts: Contracts) -> dict[str, list[TokenBucketState | None]]:
    """Return the buckets for requests and for retries by team name; None where the contract sets no limit.

    The names are exported, as numbers differ between processes.
    """
    return {
        team: [
            None if bucket is None else [bucket.level, bucket.refilled_at_ns]
            for bucket in (contract.rate, contract.retries)
        ]
        for team, contract in contracts.by_name().items()
    }


def restore_token_bucket(bucket: TokenBucket | None, state: TokenBucketState | None) -> None:
    """Restore the predecessor's level where both processes' contracts set a limit.

    Raises IndexError, OverflowError, TypeError or ValueError where the state has another shape.
    """
    if bucket is not None and state is not None:
        bucket.level = float(state[0])
        bucket.refilled_at_ns = int(state[1])
