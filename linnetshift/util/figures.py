"""Figures that endpoints report: checked where they enter."""

from __future__ import annotations

import math

FIGURE_LIMIT = 2.0**63  # exclusive: the decisions hold figures in signed 64-bit numbers


class FigureError(ValueError):
    """A reported figure is no number, not finite, negative or too large."""


def check_figure(figure: float) -> float:
    """Return the figure; raises FigureError unless it is finite, not negative and below FIGURE_LIMIT."""
    if not math.isfinite(figure) or not 0.0 <= figure < FIGURE_LIMIT:
        raise FigureError(f"{figure:g} is out of range")
    return figure


def parse_figure(text: bytes | str) -> float:
    """Parse a decimal number; raises FigureError, also where it is out of range."""
    try:
        figure = float(text)
    except ValueError:
        raise FigureError("not a number") from None
    return check_figure(figure)
