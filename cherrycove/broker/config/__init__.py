"""Configuration: the platform's file that ``RELAY_CONFIG`` names, and the operator's TOML file.

``platform_file`` and ``operator_file`` read one file each, ``_table`` reads a table of the operator's file
key by key, and ``_values`` holds what both files need. The package defines the format of both files and
reports what is wrong with one. It must never make up a value that a rule depends on, and never open a
connection.
"""

from cherrycove.broker.config._values import ConfigError, parse_host_port
from cherrycove.broker.config.operator_file import (
    DecisionLogConfig,
    LogConfig,
    OperatorConfig,
    WarmRestartConfig,
    load_operator_config,
    parse_operator_config,
)
from cherrycove.broker.config.platform_file import (
    BrokerTierConfig,
    PlatformConfig,
    load_platform_config,
    log_unsupported_settings,
    parse_platform_config,
)

__all__ = [
    "BrokerTierConfig",
    "ConfigError",
    "DecisionLogConfig",
    "LogConfig",
    "OperatorConfig",
    "PlatformConfig",
    "WarmRestartConfig",
    "load_operator_config",
    "load_platform_config",
    "log_unsupported_settings",
    "parse_host_port",
    "parse_operator_config",
    "parse_platform_config",
]
