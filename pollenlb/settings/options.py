"""Typed options and the base class of all settings."""

from __future__ import annotations

import difflib
import ipaddress
import re
import tomllib
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec
from result import Err, Ok, Result

from ..exceptions import SettingsError
from ..ids import Address

T = TypeVar("T")

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")
_REQUIRED = object()


class Problem(msgspec.Struct, frozen=True):
    """One thing wrong with a settings file.

    Attributes
    ----------
    key : str
        Dotted key at which the problem stands.
    message : str
        What is wrong and what is allowed.
    is_error : bool
        False for a warning, which does not stop a process.
    """

    key: str
    message: str
    is_error: bool = True

    def __str__(self) -> str:
        level = "error" if self.is_error else "warning"
        return f"{level}: {self.key}: {self.message}"


class Option(Generic[T]):
    """One setting: its type, its bounds and its default.

    Parameters
    ----------
    default : T, optional
        Value when the key is absent; without it the key is required.
    """

    allowed = "a value"

    def __init__(self, default: Any = _REQUIRED) -> None:
        self.default = default

    @property
    def is_required(self) -> bool:
        """Whether a settings file must hold the key."""
        return self.default is _REQUIRED

    def __set_name__(self, owner: type, name: str) -> None:
        self._name = name

    def __get__(self, instance: Any, owner: type) -> T:
        if instance is None:
            return self  # type: ignore[return-value]
        return instance.values[self._name]

    def check(self, value: Any) -> T:
        """Return the checked value.

        Raises
        ------
        ValueError
            With a sentence that says what is allowed.
        """
        raise NotImplementedError

    def problems(self, key: str, value: Any) -> Result[T, list[Problem]]:
        """Check a value and report every problem under its key."""
        try:
            return Ok(self.check(value))
        except ValueError as error:
            return Err([Problem(key, str(error))])


class Text(Option[str]):
    """Any text that is not empty."""

    allowed = "text"

    def check(self, value: Any) -> str:
        """Return the text."""
        if not isinstance(value, str) or not value:
            raise ValueError(f"{value!r} must be text that is not empty")
        return value


class Name(Option[str]):
    """Lower-case letters, digits and dashes, at most 64."""

    allowed = "lower-case letters, digits and dashes"

    def check(self, value: Any) -> str:
        """Return the name."""
        if not isinstance(value, str) or not _NAME_PATTERN.fullmatch(value):
            raise ValueError(
                f"{value!r} must be 1 to 64 lower-case letters, digits and dashes"
            )
        return value


class PathPrefix(Option[str]):
    """A path that starts with a slash."""

    allowed = "a path that starts with /"

    def check(self, value: Any) -> str:
        """Return the path prefix."""
        if not isinstance(value, str) or not value.startswith("/"):
            raise ValueError(f"{value!r} must be a path that starts with /")
        return value


class SocketAddress(Option[str]):
    """An IP number and a port, such as ``127.0.0.1:7000``."""

    allowed = "IP:PORT"

    def check(self, value: Any) -> str:
        """Return the address."""
        host, _, port = str(value).rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            is_port = 0 < int(port) < 65536
        except ValueError:
            is_port = False
        if not is_port:
            raise ValueError(f"{value!r} must be IP:PORT, for example 10.0.0.5:7000")
        return str(value)


class Integer(Option[int]):
    """A whole number within bounds."""

    def __init__(self, least: int, most: int, default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.least = least
        self.most = most

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The bounds, for the reference page."""
        return f"whole number from {self.least} to {self.most}"

    def check(self, value: Any) -> int:
        """Return the number."""
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not self.least <= value <= self.most:
            raise ValueError(f"{value!r} must be a {self.allowed}")
        return value


class Number(Option[float]):
    """A number within bounds, with or without a fraction."""

    def __init__(self, least: float, most: float, default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.least = least
        self.most = most

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The bounds, for the reference page."""
        return f"number from {self.least:g} to {self.most:g}"

    def check(self, value: Any) -> float:
        """Return the number as a float."""
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not self.least <= value <= self.most:
            raise ValueError(f"{value!r} must be a {self.allowed}")
        return float(value)


class Flag(Option[bool]):
    """True or false."""

    allowed = "true or false"

    def check(self, value: Any) -> bool:
        """Return the flag."""
        if not isinstance(value, bool):
            raise ValueError(f"{value!r} must be true or false")
        return value


class Choice(Option[str]):
    """One of a few words."""

    def __init__(self, *choices: str, default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.choices = choices

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The words, for the reference page."""
        return "one of " + ", ".join(self.choices)

    def check(self, value: Any) -> str:
        """Return the word."""
        if value not in self.choices:
            raise ValueError(f"{value!r} must be {self.allowed}")
        return value


class Folder(Option[Path]):
    """A folder, made when a process starts."""

    allowed = "a folder"

    def check(self, value: Any) -> Path:
        """Return the folder's path."""
        if not isinstance(value, str) or not value:
            raise ValueError(f"{value!r} must be the path of a folder")
        return Path(value)


class ListOf(Option[list]):
    """A list whose items are all of one option."""

    def __init__(self, item: Option, least: int = 0, default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.item = item
        self.least = least

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The items, for the reference page."""
        return f"list of at least {self.least}: {self.item.allowed}"

    def check(self, value: Any) -> list:
        """Return the checked items."""
        if not isinstance(value, list) or len(value) < self.least:
            raise ValueError(f"must be a {self.allowed}")
        return [self.item.check(each) for each in value]


class Weights(Option[dict]):
    """Shares by name; at least one is above 0."""

    allowed = "weights by name, at least one above 0"

    def check(self, value: Any) -> dict[str, float]:
        """Return the weights as floats."""
        if not isinstance(value, dict):
            raise ValueError(f"{value!r} must be {self.allowed}")
        for weight in value.values():
            is_number = isinstance(weight, (int, float)) and not isinstance(
                weight, bool
            )
            if not is_number or not 0 <= weight < float("inf"):
                raise ValueError(f"{weight!r} must be a weight of 0 or more")
        if value and not sum(value.values()) > 0:
            raise ValueError(f"must be {self.allowed}")
        return {str(name): float(weight) for name, weight in value.items()}


class TableOf(Option[dict]):
    """Tables by name, each checked by one settings class."""

    def __init__(self, settings: type[Settings], default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.settings = settings

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The settings class, for the reference page."""
        return f"tables of {self.settings.__name__} by name"

    def problems(self, key: str, value: Any) -> Result[dict, list[Problem]]:
        """Check every table and report the problems of all."""
        if not isinstance(value, dict):
            return Err([Problem(key, "must be a table of tables by name")])
        checked: dict[str, Settings] = {}
        problems: list[Problem] = []
        for name, table in value.items():
            if not _NAME_PATTERN.fullmatch(name):
                problems.append(Problem(f"{key}.{name}", "is not a valid name"))
            match self.settings.check(table, f"{key}.{name}."):
                case Ok(settings):
                    checked[name] = settings
                case Err(found):
                    problems.extend(found)
        return Err(problems) if problems else Ok(checked)


class Settings:
    """Base of settings classes; options are class attributes.

    Parameters
    ----------
    values : dict
        Checked values by key.
    """

    def __init__(self, values: dict[str, Any]) -> None:
        self.values = values

    @classmethod
    def options(cls) -> dict[str, Option]:
        """Return the options by key, in the order they are declared."""
        found: dict[str, Option] = {}
        for base in reversed(cls.__mro__):
            for name, value in vars(base).items():
                if isinstance(value, Option):
                    found[name] = value
        return found

    @classmethod
    def check(cls, table: Any, prefix: str = "") -> Result[Any, list[Problem]]:
        """Check a table of raw values.

        Parameters
        ----------
        table : dict
            Raw values by key, as read from TOML.
        prefix : str
            Dotted path of the table, put before each key in problems.

        Returns
        -------
        Result
            The settings, or every problem at once.
        """
        if not isinstance(table, dict):
            return Err([Problem(prefix.rstrip(".") or "file", "must be a table")])
        options = cls.options()
        problems = [
            Problem(prefix + key, _unknown_key(key, options))
            for key in table
            if key not in options
        ]
        values: dict[str, Any] = {}
        for key, option in options.items():
            if key not in table:
                if option.is_required:
                    problems.append(
                        Problem(prefix + key, f"is required: {option.allowed}")
                    )
                else:
                    values[key] = option.default
                continue
            match option.problems(prefix + key, table[key]):
                case Ok(value):
                    values[key] = value
                case Err(found):
                    problems.extend(found)
        if not problems:
            settings = cls(values)
            problems = [
                Problem(prefix + each.key, each.message, each.is_error)
                for each in settings.further_problems()
            ]
            if not any(each.is_error for each in problems):
                return Ok(settings)
        return Err(problems)

    @classmethod
    def load(cls, path: Path) -> Any:
        """Read and check a TOML file.

        Raises
        ------
        SettingsError
            When the file cannot be read or holds errors; lists all of them.
        """
        try:
            table = tomllib.loads(path.read_text())
        except OSError as error:
            raise SettingsError(f"{path} cannot be read: {error.strerror}") from error
        except tomllib.TOMLDecodeError as error:
            raise SettingsError(f"{path} is not valid TOML: {error}") from error
        match cls.check(table):
            case Ok(settings):
                return settings
            case Err(problems):
                lines = "\n".join(f"  {each}" for each in problems)
                raise SettingsError(f"{path} has {len(problems)} problems:\n{lines}")

    def further_problems(self) -> list[Problem]:
        """Return problems that concern several options together."""
        return []


def address_at(address: str, port: int) -> Address:
    """Return an address with another port; port 0 keeps the one it has."""
    if not port:
        return Address(address)
    host, _, _ = address.rpartition(":")
    return Address(f"{host}:{port}")


def _unknown_key(key: str, options: dict[str, Option]) -> str:
    nearest = difflib.get_close_matches(key, options, n=1)
    hint = f"; did you mean {nearest[0]}?" if nearest else ""
    return f"is not a known key{hint}"
