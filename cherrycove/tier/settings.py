"""The settings file of one process (YAML).

A missing or invalid key raises a ``SettingsError`` that contains file, key and reason; unknown keys are
ignored. Durations keep the unit that is part of their key.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
import yaml
from cattrs.errors import ClassValidationError

from cherrycove.tier.checked_documents import describe_validation_errors, document_converter
from cherrycove.tier.program_names import CONTROLLER_PROGRAM, PROXY_PROGRAM, STORE_PROGRAM

SETTINGS_VARIABLE = "CHERRYCOVE_CONFIG"

# Offset of each program's port for internal calls within internalPortRange, which is equal on all machines.
PORT_OFFSETS = {CONTROLLER_PROGRAM: 0, STORE_PROGRAM: 1, PROXY_PROGRAM: 2}


class SettingsError(ValueError):
    """The settings file is missing or invalid."""


@attrs.frozen(kw_only=True)
class ListenAddresses:
    """Listening addresses as host:port; empty if the role does not serve the interface."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = ""


@attrs.frozen(kw_only=True)
class ProcessLimits:
    """Resource limits of the process."""

    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    memory_mb: float = 256.0
    file_descriptors: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0  # 0: no known limit


@attrs.frozen(kw_only=True)
class FaultTolerance:
    """Numbers of simultaneous failures under which all guarantees hold."""

    machine_failures: int = 0
    zones: int = 0
    region_failures: int = 0


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits set by the rules of the deployment; names include the unit.

    The tier uses only those that have a comment.
    """

    seed_lag_s: float = 3.0
    address_reuse_s: float = 2.0
    contact_ms: float = 3000.0
    acknowledge_ms: float = 4000.0
    catch_up_s: float = 5.0  # time within which a new or returning replica must have all data
    drain_ms: float = 3000.0  # time within which proxies must learn that a broker is draining
    grace_period_s: float = 8.0  # from SIGTERM to the end of the process
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    outer_bound_ms: float = 5000.0
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 0.0
    finish_s: float = 10.0
    status_s: float = 120.0  # time for which clients can query the status of a batch job
    cancel_ms: float = 3000.0  # time within which the items of an ended batch job are stopped
    settle_ms: float = 1000.0
    quota_overshoot: float = 0.1


@attrs.frozen(kw_only=True)
class CloudApi:
    """The platform's API that lists the model brokers."""

    address: str = ""  # host:port
    rate_per_s: float = 1.0  # calls per second that the platform allows
    duties: list[Any] = attrs.field(factory=list)
    max_lag_ms: float = 1000.0


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a process. They are read at its start; most changes require a restart."""

    node_name: str
    machine_class: str
    ip_address: str
    zone: str
    region: str
    internal_port_range: list[int]
    role: str = ""
    serves: list[str] = attrs.field(factory=list)
    zones: dict[str, str] = attrs.field(factory=dict)
    listen_addresses: ListenAddresses = attrs.field(factory=ListenAddresses)
    seed_nodes: list[str] = attrs.field(factory=list)
    first_start: bool = False
    counts_for_quorum: bool = False
    limits: ProcessLimits = attrs.field(factory=ProcessLimits)
    data_directory: str | None = None
    heartbeat_interval_ms: float = 1000.0
    active_contracts: list[str] = attrs.field(factory=list)
    fault_tolerance: FaultTolerance = attrs.field(factory=FaultTolerance)
    bounds: Bounds = attrs.field(factory=Bounds)
    cloud_api: CloudApi = attrs.field(factory=CloudApi)

    def internal_address(self, program: str) -> str:
        """Return the host:port at which ``program`` (see ``PORT_OFFSETS``) on this machine serves calls."""
        return self.peer_address(self.ip_address, program)

    def peer_address(self, ip: str, program: str) -> str:
        """Return the host:port at which ``program`` on the machine at ``ip`` serves internal calls."""
        return f"{ip}:{self.internal_port_range[0] + PORT_OFFSETS[program]}"

    def seed_ips(self) -> tuple[str, ...]:
        """Return the addresses of the seed nodes without their ports."""
        return tuple(address.rpartition(":")[0] for address in self.seed_nodes)


_CONVERTER = document_converter(
    (ListenAddresses, ProcessLimits, FaultTolerance, Bounds, CloudApi, Settings),
    verbatim={"pass_ms", "again_s"},
)


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse the text of a settings file. Raises ``SettingsError``, naming ``source``, if it is invalid."""
    try:
        document = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise SettingsError(f"{source}: not YAML: {error}") from error
    if not isinstance(document, Mapping):
        raise SettingsError(f"{source}: the file must be a mapping of keys to values")
    present = {key: value for key, value in document.items() if value is not None}
    try:
        return _CONVERTER.structure(present, Settings)
    except ClassValidationError as error:
        raise SettingsError(f"{source}: {describe_validation_errors(error)}") from error


def load_settings(path: str | Path | None = None) -> Settings:
    """Load the settings from ``path``, or from the file named by CHERRYCOVE_CONFIG.

    Raises ``SettingsError`` if the file cannot be read or is invalid.
    """
    name = str(path or os.environ.get(SETTINGS_VARIABLE, ""))
    if not name:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set and no settings file was given")
    try:
        text = Path(name).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{name}: {error.strerror}") from error
    return parse_settings(text, name)
