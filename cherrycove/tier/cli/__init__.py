"""The command line for operators.

It reads files and calls running processes over the network; it changes a tier only through the operator API.
Daemons never import its commands, and importing this package imports no third-party library.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cleo.application import Application


def create_application() -> Application:
    """Return the command line with all its commands; their libraries are only imported by this call."""
    from cherrycove.tier.cli.batch import BatchStatusCommand
    from cherrycove.tier.cli.batch_capacity import CheckBatchCapacityCommand
    from cherrycove.tier.cli.check import CheckConfigurationCommand, CheckSettingsCommand
    from cherrycove.tier.cli.command_line import CommandLine
    from cherrycove.tier.cli.configuration import ConfigDiffCommand, ConfigGetCommand, ConfigPutCommand
    from cherrycove.tier.cli.losses import LossesCommand
    from cherrycove.tier.cli.retire import RetireCommand
    from cherrycove.tier.cli.status import StatusCommand
    from cherrycove.tier.cli.storage import StorageInspectCommand, StorageVerifyCommand

    commands = (
        CheckSettingsCommand,
        CheckConfigurationCommand,
        CheckBatchCapacityCommand,
        ConfigGetCommand,
        ConfigPutCommand,
        ConfigDiffCommand,
        StatusCommand,
        BatchStatusCommand,
        LossesCommand,
        RetireCommand,
        StorageInspectCommand,
        StorageVerifyCommand,
    )
    command_line = CommandLine()
    for command in commands:
        command_line.add(command())
    return command_line
