"""Constants of the program, set to other values for one experiment: sensitivities and ablations."""

from __future__ import annotations

from importlib import import_module

import attrs

PACKAGE = "cherrycove.tier"


class ConstantError(ValueError):
    """A setting that names no constant of the program, or gives it no number."""


@attrs.frozen
class ConstantSetting:
    """One named constant of a module, and its value."""

    module: str
    name: str
    value: float

    @classmethod
    def parse(cls, text: str) -> ConstantSetting:
        """Read ``package.module.NAME=VALUE``, with the package below ``cherrycove.tier``."""
        path, is_set, value = text.partition("=")
        module, _, name = path.rpartition(".")
        if not (is_set and module and name.isupper()):
            raise ConstantError(f"{text!r} is not MODULE.NAME=VALUE")
        try:
            return cls(f"{PACKAGE}.{module}", name, float(value))
        except ValueError as error:
            raise ConstantError(f"{text!r}: {value!r} is no number") from error

    def apply(self) -> None:
        """Set it in this process; raises ``ConstantError`` where there is no such constant."""
        try:
            module = import_module(self.module)
        except ModuleNotFoundError as error:
            raise ConstantError(f"there is no module {self.module}") from error
        present = getattr(module, self.name, None)
        if not isinstance(present, int | float):
            raise ConstantError(f"{self.module} has no number {self.name}")
        setattr(module, self.name, type(present)(self.value))
