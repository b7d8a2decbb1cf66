"""Overrides constants of the program for one experiment, for sensitivity and ablation studies."""

from __future__ import annotations

from importlib import import_module

import attrs

PACKAGE = "cherrycove.tier"


class ConstantError(ValueError):
    """A setting is malformed, names no constant of the program, or its value is not a number."""


@attrs.frozen
class ConstantSetting:
    """A new value for a named constant of a module."""

    module: str
    name: str
    value: float

    @classmethod
    def parse(cls, text: str) -> ConstantSetting:
        """Parse ``package.module.NAME=VALUE``, with the package relative to ``cherrycove.tier``.

        Raises ``ConstantError`` for any other form.
        """
        path, is_set, value = text.partition("=")
        module, _, name = path.rpartition(".")
        if not (is_set and module and name.isupper()):
            raise ConstantError(f"{text!r} is not MODULE.NAME=VALUE")
        try:
            return cls(f"{PACKAGE}.{module}", name, float(value))
        except ValueError as error:
            raise ConstantError(f"{text!r}: {value!r} is not a number") from error

    def apply(self) -> None:
        """Set the constant in this process; raises ``ConstantError`` if there is no such numeric constant."""
        try:
            module = import_module(self.module)
        except ModuleNotFoundError as error:
            raise ConstantError(f"there is no module {self.module}") from error
        present = getattr(module, self.name, None)
        if not isinstance(present, int | float):
            raise ConstantError(f"{self.module} has no numeric constant {self.name}")
        setattr(module, self.name, type(present)(self.value))
