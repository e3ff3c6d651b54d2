"""Weighted rendezvous hashing: the cost of a key at each endpoint, the same at every balancer.

Arrays have one item for each endpoint. The endpoint with the lowest cost over weight comes first.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    import numpy.typing as npt

MASK = (1 << 64) - 1
"""Bits of a 64-bit hash."""

# The finalizer of splitmix64: every input bit reaches every output bit, where a bare XOR skews shares.
MIX_A = 0xBF58476D1CE4E5B9
MIX_B = 0x94D049BB133111EB
NP_MIX_A = np.uint64(MIX_A)
NP_MIX_B = np.uint64(MIX_B)
SHIFT_A = np.uint64(30)
SHIFT_B = np.uint64(27)
SHIFT_C = np.uint64(31)
MANTISSA_SHIFT = np.uint64(12)  # keeps the top 52 bits, which a float holds exactly


def mix64(x: int) -> int:
    """The finalizer of splitmix64, on one 64-bit integer."""
    x = ((x ^ (x >> 30)) * MIX_A) & MASK
    x = ((x ^ (x >> 27)) * MIX_B) & MASK
    return x ^ (x >> 31)


def endpoint_hash(endpoint: bytes) -> int:
    """64 bits of BLAKE2b of an endpoint's id."""
    return int.from_bytes(blake2b(endpoint, digest_size=8).digest(), "big")


def costs(key_hash: int, hashes: npt.NDArray[np.uint64]) -> npt.NDArray[np.float64]:
    """The cost -log(h) of one key at each endpoint, given their hashes.

    h is the top 52 bits of the mixed hash plus a half, as a fraction: strictly between 0 and 1.
    """
    x = hashes ^ np.uint64((key_hash * 3) & MASK)
    x ^= x >> SHIFT_A
    x *= NP_MIX_A
    x ^= x >> SHIFT_B
    x *= NP_MIX_B
    x ^= x >> SHIFT_C
    result: npt.NDArray[np.float64] = -np.log(((x >> MANTISSA_SHIFT).astype(np.float64) + 0.5) * 2.0**-52)
    return result


def rank(
    key_hash: int, hashes: npt.NDArray[np.uint64], inverse_weights: npt.NDArray[np.float64]
) -> list[int]:
    """Indices of the endpoints for one key, best first; ties keep the given order."""
    order: list[int] = np.argsort(costs(key_hash, hashes) * inverse_weights, kind="stable").tolist()
    return order
