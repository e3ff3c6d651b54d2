"""Errors of the configuration."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""
