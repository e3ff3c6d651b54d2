"""The state that a predecessor handed over, which may be of another version.

An invalid part is logged and left out; the others are used.
"""

from __future__ import annotations

import socket

from linnetshift.broker.broker import Broker
from linnetshift.broker.snapshot import import_state
from linnetshift.endpoint_list.names import NameRegistry
from linnetshift.endpoint_list.parsing import EndpointListUpdate, parse_endpoint_list
from linnetshift.lifecycle.channels_activation import PredecessorChannels
from linnetshift.lifecycle.takeover_messages import (
    ADMINISTRATIVE_DRAINS_KEY,
    CLOSES_LISTENER_KEY,
    DESCRIPTOR_NAMES_KEY,
    ENDPOINT_LIST_KEY,
    IS_VRRP_ACTIVE_KEY,
    PEER_RESOURCES_KEY,
    SNAPSHOT_KEY,
    TOKEN_BUCKETS_KEY,
    MessageError,
    PeerResources,
)
from linnetshift.lifecycle.takeover_socket import PredecessorState
from linnetshift.lifecycle.token_bucket_state import restore_token_bucket
from linnetshift.observability import log

# Raised by the functions that restore a part, where its state has another shape.
_WRONG_SHAPE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)


class ImportedState:
    """The predecessor's state; empty where there is no predecessor."""

    def __init__(self, predecessor: PredecessorState | None, names: NameRegistry) -> None:
        """Read what the proxy's parts are built with; `names` has this process's teams and classes."""
        self.names = names
        self.state = predecessor.state if predecessor is not None else {}
        self.has_predecessor = predecessor is not None
        self.was_vrrp_active = self.state.get(IS_VRRP_ACTIVE_KEY) is True
        # Absent in versions before December 2026, which keep the listener until they exit.
        self.closes_listener = self.state.get(CLOSES_LISTENER_KEY) is True
        self.list_update: EndpointListUpdate | None = None
        self.peer_resources = PeerResources()
        # By name; a caller that removes one owns it.
        self.sockets = self._adopt_sockets(predecessor.descriptors if predecessor is not None else [])
        if self.state:
            self.list_update = self._read_list()
            self.peer_resources = self._read_peer_resources()

    def predecessor_channels(self) -> PredecessorChannels | None:
        """Return what the predecessor told of its channels frontend; None where there is no predecessor."""
        if not self.has_predecessor:
            return None
        return PredecessorChannels(self.was_vrrp_active, self.closes_listener)

    def _adopt_sockets(self, descriptors: list[int]) -> dict[str, socket.socket]:
        """Return the sockets by name; descriptors and names are in the same order."""
        names = self.state.get(DESCRIPTOR_NAMES_KEY) or []
        return {
            str(name): socket.socket(fileno=descriptor)
            for name, descriptor in zip(names, descriptors, strict=False)
        }

    def _read_list(self) -> EndpointListUpdate | None:
        """Return the endpoint list; None where it is empty or invalid."""
        try:
            list_update = parse_endpoint_list(self.state.get(ENDPOINT_LIST_KEY), self.names)
        except ValueError as error:
            log.info("imported-list-rejected", error=str(error))
            return None
        return list_update if list_update.event.entries else None

    def _read_peer_resources(self) -> PeerResources:
        """Return the resources that the predecessor held when it sent its state; empty where invalid."""
        try:
            return PeerResources.from_json(self.state.get(PEER_RESOURCES_KEY, {}))
        except MessageError as error:
            log.info("imported-state-rejected", error=str(error))
            return PeerResources()

    def restore_drains_and_token_buckets(self, broker: Broker) -> None:
        """Restore administrative drains and token buckets; call this before the endpoint list is applied."""
        if not self.state:
            return
        try:
            broker.administrative_drains.import_state(self.state[ADMINISTRATIVE_DRAINS_KEY])
            self._restore_token_buckets(broker)
        except _WRONG_SHAPE_ERRORS as error:
            log.info("imported-state-rejected", error=f"{type(error).__name__}: {error}")

    def _restore_token_buckets(self, broker: Broker) -> None:
        """Restore the buckets of teams that have a contract here; raises one of _WRONG_SHAPE_ERRORS."""
        for team, buckets in self.state[TOKEN_BUCKETS_KEY].items():
            contract = broker.contracts.find(team)
            if contract is not None:
                restore_token_bucket(contract.rate, buckets[0])
                restore_token_bucket(contract.retries, buckets[1])

    def restore_snapshot(self, broker: Broker) -> None:
        """Import the balancer's observations; call this once it has processed the endpoint list."""
        if not self.state:
            return
        try:
            import_state(broker.balancer, broker.latency_estimator, self.state[SNAPSHOT_KEY])
        except _WRONG_SHAPE_ERRORS as error:
            log.info("snapshot-rejected", error=f"{type(error).__name__}: {error}")
