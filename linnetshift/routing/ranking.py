"""Weighted rendezvous hashing: one key's cost at each of many endpoints, the same at every node."""

from __future__ import annotations

from hashlib import blake2b

import numpy as np
import numpy.typing as npt

MASK = (1 << 64) - 1
# The finalizer of splitmix64: every input bit reaches every output bit, where a bare XOR skews shares.
MIX_A = 0xBF58476D1CE4E5B9
MIX_B = 0x94D049BB133111EB
NP_MIX_A = np.uint64(MIX_A)
NP_MIX_B = np.uint64(MIX_B)
S30, S27, S31, S12 = (np.uint64(n) for n in (30, 27, 31, 12))


def mix64(x: int) -> int:
    x = ((x ^ (x >> 30)) * MIX_A) & MASK
    x = ((x ^ (x >> 27)) * MIX_B) & MASK
    return x ^ (x >> 31)


def endpoint_hash(endpoint: bytes) -> int:
    return int.from_bytes(blake2b(endpoint, digest_size=8).digest(), "big")


def costs(key_hash: int, hashes: npt.NDArray[np.uint64]) -> npt.NDArray[np.float64]:
    """-log(h) for one key at each endpoint, h strictly inside (0, 1): top 52 bits plus a half."""
    x = hashes ^ np.uint64((key_hash * 3) & MASK)
    x ^= x >> S30
    x *= NP_MIX_A
    x ^= x >> S27
    x *= NP_MIX_B
    x ^= x >> S31
    result: npt.NDArray[np.float64] = -np.log(((x >> S12).astype(np.float64) + 0.5) * 2.0**-52)
    return result


def in_order(key_hash: int, hashes: npt.NDArray[np.uint64], reciprocal: npt.NDArray[np.float64]) -> list[int]:
    """Endpoints by their scores for a key, best first; a stable sort, so the order given settles ties."""
    order: list[int] = np.argsort(costs(key_hash, hashes) * reciprocal, kind="stable").tolist()
    return order
