"""The parts of the broker file that stand alone, and how one that cannot be used is reported."""

from __future__ import annotations

from typing import NamedTuple

# Parts of the file by their path; a single contract is `contract[INDEX]`.
WHOLE_FILE = ""
CHANNELS_PART = "channels"
VRRP_PART = "vrrp"
CONTRACTS_PART = "contract"


class UnusablePart(NamedTuple):
    """A part of the broker file that is left out."""

    path: str  # of the part in the document; WHOLE_FILE for all of it
    reason: str
    has_last_good: bool  # its last good version stays in force; otherwise the part is off


class UnusablePartError(Exception):
    """A part cannot be used; the text is the reason."""
