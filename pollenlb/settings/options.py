"""Typed options and the base class of all settings."""

from __future__ import annotations

import difflib
import re
import reprlib
import tomllib
from pathlib import Path
from typing import Any, ClassVar, Generic, TypeVar

import msgspec
from result import Err, Ok, Result

from ..addresses import parse_address
from ..exceptions import SettingsError
from ..ids import Address

T = TypeVar("T")

# Problems quote values that may be long or nested deeply.
_repr = reprlib.Repr()
_repr.maxstring = _repr.maxother = 200
_quote = _repr.repr

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")
_REQUIRED = object()
_encode = msgspec.msgpack.Encoder().encode


class Problem(msgspec.Struct, frozen=True):
    """One problem found in settings.

    Attributes
    ----------
    key : str
        Dotted key that has the problem.
    message : str
        What is wrong and what is allowed.
    is_error : bool
        False for a warning, which does not prevent a process from starting.
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
        Value when the key is absent; without a default the key is required.

    Attributes
    ----------
    allowed : str
        Allowed values, for the reference page and error messages.
    """

    allowed = "a value"

    def __init__(self, default: Any = _REQUIRED) -> None:
        self.default = default

    @property
    def is_required(self) -> bool:
        """Whether the key must be set."""
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
            When the value is not allowed; the message says what is.
        """
        raise NotImplementedError

    def check_key(self, key: str, value: Any) -> Result[T, list[Problem]]:
        """Return the checked value of a key, or every problem found in it."""
        try:
            return Ok(self.check(value))
        except ValueError as error:
            return Err([Problem(key, str(error))])


class Text(Option[str]):
    """A non-empty string."""

    allowed = "non-empty string"

    def check(self, value: Any) -> str:
        """Return the string."""
        if not isinstance(value, str) or not value:
            raise ValueError(f"{_quote(value)} must be a non-empty string")
        return value


class Name(Option[str]):
    """1 to 64 lower-case letters, digits and hyphens; no hyphen at either end."""

    allowed = "lower-case letters, digits and hyphens"

    def check(self, value: Any) -> str:
        """Return the name."""
        if not isinstance(value, str) or not _NAME_PATTERN.fullmatch(value):
            raise ValueError(
                f"{_quote(value)} must be 1 to 64 lower-case letters, digits and "
                "hyphens, without a hyphen at either end"
            )
        return value


class UrlPath(Option[str]):
    """A URL path that starts with a slash."""

    allowed = "a path that starts with /"

    def check(self, value: Any) -> str:
        """Return the path."""
        if not isinstance(value, str) or not value.startswith("/"):
            raise ValueError(f"{_quote(value)} must be a path that starts with /")
        return value


class SocketAddress(Option[str]):
    """An IP address and a port, such as ``127.0.0.1:7000``."""

    allowed = "IP:PORT"

    def check(self, value: Any) -> str:
        """Return the address."""
        if not isinstance(value, str):
            raise ValueError(f"{_quote(value)} must be {self.allowed}")
        return parse_address(value)


class OptionalAddress(SocketAddress):
    """An IP address and a port, or an empty string for none."""

    allowed = "IP:PORT or an empty string"

    def check(self, value: Any) -> str:
        """Return the address."""
        return "" if value == "" else super().check(value)


class NameSet(Option[list]):
    """Names in one string, separated by commas; an empty string for none."""

    allowed = "names separated by commas"

    def check(self, value: Any) -> list[str]:
        """Return the names in the order in which they are given."""
        if not isinstance(value, str):
            raise ValueError(f"{_quote(value)} must be {self.allowed}")
        return [name.strip() for name in value.split(",") if name.strip()]


class Integer(Option[int]):
    """An integer from ``minimum`` to ``maximum``, both included."""

    def __init__(self, minimum: int, maximum: int, default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.minimum = minimum
        self.maximum = maximum

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The bounds."""
        return f"integer from {self.minimum} to {self.maximum}"

    def check(self, value: Any) -> int:
        """Return the integer."""
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not self.minimum <= value <= self.maximum:
            raise ValueError(f"{_quote(value)} must be an {self.allowed}")
        return value


class Number(Option[float]):
    """A number from ``minimum`` to ``maximum``, both included."""

    def __init__(
        self, minimum: float, maximum: float, default: Any = _REQUIRED
    ) -> None:
        super().__init__(default)
        self.minimum = minimum
        self.maximum = maximum

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The bounds."""
        return f"number from {self.minimum:g} to {self.maximum:g}"

    def check(self, value: Any) -> float:
        """Return the number as a float."""
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not self.minimum <= value <= self.maximum:
            raise ValueError(f"{_quote(value)} must be a {self.allowed}")
        return float(value)


class Flag(Option[bool]):
    """True or false."""

    allowed = "true or false"

    def check(self, value: Any) -> bool:
        """Return the flag."""
        if not isinstance(value, bool):
            raise ValueError(f"{_quote(value)} must be true or false")
        return value


class Choice(Option[str]):
    """One of a fixed set of strings."""

    def __init__(self, *choices: str, default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.choices = choices

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The allowed strings."""
        return "one of " + ", ".join(self.choices)

    def check(self, value: Any) -> str:
        """Return the string that was chosen."""
        if value not in self.choices:
            raise ValueError(f"{_quote(value)} must be {self.allowed}")
        return value


class Folder(Option[Path]):
    """The path of a folder, which is created when a process starts."""

    allowed = "path of a folder"

    def check(self, value: Any) -> Path:
        """Return the path."""
        if not isinstance(value, str) or not value:
            raise ValueError(f"{_quote(value)} must be the path of a folder")
        return Path(value)


class ListOf(Option[list]):
    """A list with at least ``min_length`` items that one option checks."""

    def __init__(
        self, item: Option, min_length: int = 0, default: Any = _REQUIRED
    ) -> None:
        super().__init__(default)
        self.item = item
        self.min_length = min_length

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The minimum length and the allowed items."""
        return f"list of {self.min_length} or more items, each {self.item.allowed}"

    def check(self, value: Any) -> list:
        """Return the checked items."""
        if not isinstance(value, list) or len(value) < self.min_length:
            raise ValueError(f"must be a {self.allowed}")
        return [self.item.check(item) for item in value]


class Weights(Option[dict]):
    """Weights by name; unless empty, at least one is above 0."""

    allowed = "table of weights by name, at least one above 0"

    def check(self, value: Any) -> dict[str, float]:
        """Return the weights as floats."""
        if not isinstance(value, dict):
            raise ValueError(f"{_quote(value)} must be a {self.allowed}")
        for weight in value.values():
            is_number = isinstance(weight, (int, float)) and not isinstance(
                weight, bool
            )
            if not is_number or not 0 <= weight < float("inf"):
                raise ValueError(
                    f"{_quote(weight)} must be a finite weight of at least 0"
                )
        if value and not sum(value.values()) > 0:
            raise ValueError(f"must be a {self.allowed}")
        return {str(name): float(weight) for name, weight in value.items()}


def _encode_table(table: Any) -> bytes:
    """Return a table as bytes to compare it by; empty when it has no such form."""
    try:
        return _encode(table)
    except (TypeError, ValueError, OverflowError, RecursionError):
        return b""


class TableOf(Option[dict]):
    """A table of tables by name, each checked by one settings class."""

    def __init__(self, settings: type[Settings], default: Any = _REQUIRED) -> None:
        super().__init__(default)
        self.settings = settings
        self._latest: dict[str, tuple[bytes, Settings]] = {}

    @property
    def allowed(self) -> str:  # type: ignore[override]
        """The settings class of the tables."""
        return f"tables of {self.settings.__name__} by name"

    def check_key(self, key: str, value: Any) -> Result[dict, list[Problem]]:
        """Return the settings by name, or the problems of all tables.

        Tables that are the same as in the latest check are not checked again: a
        change of a configuration with hundreds of routes concerns few of them.
        """
        if not isinstance(value, dict):
            return Err([Problem(key, "must be a table of tables by name")])
        checked: dict[str, Settings] = {}
        problems: list[Problem] = []
        # Encoded tables are compared, since ``True == 1 == 1.0`` for the tables.
        encoded = {name: _encode_table(table) for name, table in value.items()}
        for name, table in value.items():
            known, settings = self._latest.get(name, (b"", None))
            if settings is not None and known and known == encoded[name]:
                checked[name] = settings
                continue
            if not _NAME_PATTERN.fullmatch(name):
                problems.append(
                    Problem(
                        f"{key}.{name}",
                        "name must be 1 to 64 lower-case letters, digits and hyphens, "
                        "without a hyphen at either end",
                    )
                )
            match self.settings.check(table, f"{key}.{name}."):
                case Ok(settings):
                    checked[name] = settings
                case Err(table_problems):
                    problems.extend(table_problems)
        if problems:
            return Err(problems)
        self._latest = {name: (encoded[name], checked[name]) for name in checked}
        return Ok(checked)


class Settings:
    """Base of settings classes; options are class attributes.

    Parameters
    ----------
    values : dict
        Checked values by key.
    """

    _options: ClassVar[dict[str, Option]] = {}

    def __init__(self, values: dict[str, Any]) -> None:
        self.values = values

    def __init_subclass__(cls) -> None:
        own = {
            name: value
            for name, value in vars(cls).items()
            if isinstance(value, Option)
        }
        cls._options = {**cls._options, **own}

    @classmethod
    def options(cls) -> dict[str, Option]:
        """Return the options by key, in the order in which they are declared."""
        return cls._options

    @classmethod
    def check(cls, table: Any, prefix: str = "") -> Result[Any, list[Problem]]:
        """Check a table of raw values.

        Parameters
        ----------
        table : dict
            Raw values by key, as read from TOML.
        prefix : str
            Dotted path of the table with a final dot, put before each key in
            problems.

        Returns
        -------
        Result
            The settings, or all problems. Warnings are reported only together
            with an error.
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
                        Problem(
                            prefix + key, f"is required; expected: {option.allowed}"
                        )
                    )
                else:
                    values[key] = option.default
                continue
            match option.check_key(prefix + key, table[key]):
                case Ok(value):
                    values[key] = value
                case Err(key_problems):
                    problems.extend(key_problems)
        if not problems:
            settings = cls(values)
            problems = [
                Problem(prefix + problem.key, problem.message, problem.is_error)
                for problem in settings.cross_option_problems()
            ]
            if not any(problem.is_error for problem in problems):
                return Ok(settings)
        return Err(problems)

    @classmethod
    def load(cls, path: Path, more: dict[str, Any] | None = None) -> Any:
        """Read and check a TOML file.

        Parameters
        ----------
        path : Path
            The file.
        more : dict or None
            Values that go before those of the file, by key.

        Raises
        ------
        SettingsError
            When the file cannot be read, is not TOML or has errors; lists all
            problems.
        """
        try:
            table = tomllib.loads(path.read_text())
        except OSError as error:
            raise SettingsError(
                f"settings file {path} cannot be read: {error.strerror}"
            ) from error
        except tomllib.TOMLDecodeError as error:
            raise SettingsError(
                f"settings file {path} is not valid TOML: {error}"
            ) from error
        match cls.check({**table, **(more or {})}):
            case Ok(settings):
                return settings
            case Err(problems):
                lines = "\n".join(f"  {problem}" for problem in problems)
                raise SettingsError(
                    f"settings file {path} has {len(problems)} problems:\n{lines}"
                )

    def cross_option_problems(self) -> list[Problem]:
        """Return the problems of options that depend on each other."""
        return []


def with_port(address: str, port: int) -> Address:
    """Return an address with its port replaced; port 0 keeps the port."""
    if not port:
        return Address(address)
    host, _, _ = address.rpartition(":")
    return Address(f"{host}:{port}")


def _unknown_key(key: str, options: dict[str, Option]) -> str:
    matches = difflib.get_close_matches(key, options, n=1)
    hint = f"; did you mean {matches[0]}?" if matches else ""
    return f"is not a known key{hint}"
