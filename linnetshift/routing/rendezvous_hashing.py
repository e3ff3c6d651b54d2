"""Weighted rendezvous hashing: the cost of a key at each endpoint, equal at every balancer.

Arrays have one item per endpoint. The endpoint with the lowest cost divided by weight ranks first.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    import numpy.typing as npt

HASH_MASK = (1 << 64) - 1
"""All bits of a 64-bit hash, and its highest value."""

# Constants of the splitmix64 finalizer: every input bit affects every output bit; a plain XOR skews shares.
MIX_A = 0xBF58476D1CE4E5B9
MIX_B = 0x94D049BB133111EB
NP_MIX_A = np.uint64(MIX_A)
NP_MIX_B = np.uint64(MIX_B)
SHIFT_A = np.uint64(30)
SHIFT_B = np.uint64(27)
SHIFT_C = np.uint64(31)
MANTISSA_SHIFT = np.uint64(12)  # keeps the top 52 bits, which a float represents exactly


def mix64(x: int) -> int:
    """Apply the splitmix64 finalizer to a 64-bit integer."""
    x = ((x ^ (x >> 30)) * MIX_A) & HASH_MASK
    x = ((x ^ (x >> 27)) * MIX_B) & HASH_MASK
    return x ^ (x >> 31)


def endpoint_hash(endpoint: bytes) -> int:
    """64-bit BLAKE2b hash of an endpoint's id."""
    return int.from_bytes(blake2b(endpoint, digest_size=8).digest(), "big")


def endpoint_costs(key_hash: int, hashes: npt.NDArray[np.uint64]) -> npt.NDArray[np.float64]:
    """Return the cost -log(h) of a key at each endpoint, given the endpoints' hashes.

    h is the top 52 bits of the mixed hash plus one half, scaled to lie strictly between 0 and 1.
    """
    x = hashes ^ np.uint64((key_hash * 3) & HASH_MASK)
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
    """Return the indices of the endpoints for a key, best first; ties keep the given order."""
    order: list[int] = np.argsort(endpoint_costs(key_hash, hashes) * inverse_weights, kind="stable").tolist()
    return order
