"""What of the configuration files is not in force, for the log and the admin interface."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from linnetshift.broker.contracts import names_without_match
from linnetshift.config.broker_file import BrokerFileReading
from linnetshift.config.broker_parts import UnusablePart
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.observability import log
from linnetshift.observability.log import MAX_LOGGED_CHARS

LAST_GOOD = "last-good"
NOTHING = "none"


class ConfigurationStatus(NamedTuple):
    """What is not in force as the files have it."""

    unusable_parts: tuple[UnusablePart, ...]  # of the broker file
    unmatched_names: tuple[str, ...]  # teams and services that contracts name and the settings do not list
    unbound_listeners: dict[str, str]  # address and cause by the key of the listener's address

    def to_json(self) -> dict[str, object]:
        """Return the object that the admin interface shows; empty lists where everything is in force."""
        return {
            "unusable": [
                {"path": part.path, "error": part.reason, "in_force": in_force_name(part)}
                for part in self.unusable_parts
            ],
            "unmatched_names": list(self.unmatched_names),
            "unbound_listeners": self.unbound_listeners,
        }


def in_force_name(part: UnusablePart) -> str:
    """Return what is in force in place of the part: its last good version, or nothing."""
    return LAST_GOOD if part.has_last_good else NOTHING


def unmatched_names(reading: BrokerFileReading, listed: NameRegistry) -> tuple[str, ...]:
    """Return the teams and services that contracts name and `listed`, the names of the settings, lacks."""
    return tuple(names_without_match(reading.config.contracts, listed.tenants, listed.classes))


def log_broker_file(reading: BrokerFileReading, listed: NameRegistry) -> None:
    """Log each part that cannot be used, and the names that match nothing."""
    for part in reading.unusable:
        log.info(
            "broker-file-part-unusable",
            path=part.path,
            error=part.reason[:MAX_LOGGED_CHARS],
            in_force=in_force_name(part),
        )
    if names := unmatched_names(reading, listed):
        log.info("contract-names-unmatched", names=_join(names))


def _join(names: Iterable[str]) -> str:
    return ", ".join(names)[:MAX_LOGGED_CHARS]
