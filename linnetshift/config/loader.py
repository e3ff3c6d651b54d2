"""Reads the two configuration files named by environment variables.

They have different owners and are independent of each other: the proxy file is the platform's and is valid or
not as a whole; the broker file is the operator's, and its parts stand alone.
"""

from __future__ import annotations

import os
from collections.abc import Collection

from linnetshift.config.broker_file import BrokerFileReading, read_broker_file
from linnetshift.config.proxy_file import PROXY_FILE_VARIABLE, ProxyConfig, read_config

BROKER_FILE_VARIABLE = "LINNETSHIFT_BROKER"


def load_proxy_file(
    former: ProxyConfig | None = None, classes_in_use: Collection[int] | None = None
) -> ProxyConfig:
    """Read the proxy file; raises ConfigurationError. The parameters are for a reload, see `read_config`."""
    return read_config(os.environ.get(PROXY_FILE_VARIABLE), former, classes_in_use)


def load_broker_file(
    last_good: BrokerFileReading | None = None, may_change_vrrp: bool = True
) -> BrokerFileReading:
    """Read the broker file; the parameters are those of `read_broker_file`."""
    return read_broker_file(os.environ.get(BROKER_FILE_VARIABLE), last_good, may_change_vrrp)
