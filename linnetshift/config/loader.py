"""Reads both configuration files that the environment names."""

from __future__ import annotations

import os
from collections.abc import Collection

from linnetshift.config.broker_file import BrokerFile, read_broker_file
from linnetshift.config.proxy_file import Config, read_config


def read_files(
    former: Config | None = None, in_use: Collection[int] | None = None
) -> tuple[Config, BrokerFile]:
    config = read_config(os.environ.get("GW_CONFIG"), former, in_use)
    own = read_broker_file(os.environ.get("LINNETSHIFT_BROKER"), config.names, config.settings)
    return config, own
