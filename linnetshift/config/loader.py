"""Reads the two configuration files named by environment variables."""

from __future__ import annotations

import os
from collections.abc import Collection
from typing import NamedTuple

from linnetshift.config.broker_file import BrokerConfig, read_broker_file
from linnetshift.config.proxy_file import PROXY_FILE_VARIABLE, ProxyConfig, read_config

BROKER_FILE_VARIABLE = "LINNETSHIFT_BROKER"


class ConfigurationFiles(NamedTuple):
    """The contents of both files."""

    proxy: ProxyConfig
    broker: BrokerConfig


def read_files(
    former: ProxyConfig | None = None, classes_in_use: Collection[int] | None = None
) -> ConfigurationFiles:
    """Read the proxy file and the broker file; raises ConfigurationError.

    `former` and `classes_in_use` are for a reload, see `read_config`.
    """
    proxy = read_config(os.environ.get(PROXY_FILE_VARIABLE), former, classes_in_use)
    broker = read_broker_file(os.environ.get(BROKER_FILE_VARIABLE), proxy.names, proxy.settings)
    return ConfigurationFiles(proxy, broker)
