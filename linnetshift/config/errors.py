"""Errors of the configuration files and of the environment variables that name them.

Messages are single lines, printed to standard error at the start and logged at a reload.
"""

from __future__ import annotations

# Built-in errors raised for values of a wrong type or range; the readers of the files convert them to
# InvalidValueError.
INVALID_VALUE_ERRORS = (ValueError, TypeError, AttributeError, OverflowError)


class ConfigurationError(Exception):
    """The configuration is invalid; the message names the wrong value and the reason."""


class EnvironmentVariableError(ConfigurationError):
    """An environment variable is missing or its value is invalid."""

    def __init__(self, variable: str, reason: str) -> None:
        """The message is the name of the variable followed by `reason`."""
        super().__init__(f"{variable} {reason}")
        self.variable = variable


class RestartRequiredError(ConfigurationError):
    """A reload found a change that takes effect only after a restart."""

    def __init__(self, section: str) -> None:
        """`section` is the changed table of the broker file."""
        super().__init__(f"a change of [{section}] needs a restart")
        self.section = section


class ConfigurationFileError(ConfigurationError):
    """A configuration file is invalid; `file` is its path."""

    def __init__(self, file: object, text: str) -> None:
        """`text` is the complete message, including the path."""
        super().__init__(text)
        self.file = str(file)


class UnreadableFileError(ConfigurationFileError):
    """A configuration file cannot be opened or read."""

    def __init__(self, file: object, reason: str | None) -> None:
        """`reason` is the text of the operating system's error."""
        super().__init__(file, f"cannot read {file}: {reason}")


class FileSyntaxError(ConfigurationFileError):
    """A configuration file cannot be parsed."""

    def __init__(self, file: object, file_format: str, reason: object) -> None:
        """`file_format` is JSON or TOML, `reason` the parser's message."""
        super().__init__(file, f"{file} is not {file_format}: {reason}")


class MissingSettingsError(ConfigurationFileError):
    """A proxy file has no object `settings`."""

    def __init__(self, file: object) -> None:
        """`file` is the path of the proxy file."""
        super().__init__(file, f"{file} holds no settings")


class MissingKeyError(ConfigurationFileError):
    """A configuration file lacks a required key; `key` is its dotted path in the document."""

    def __init__(self, file: object, key: object) -> None:
        """`key` is the dotted path, or its last part where the reader has only that."""
        super().__init__(file, f"{file}: key {key!r} is missing")
        self.key = str(key)


class InvalidValueError(ConfigurationFileError):
    """A value in a configuration file has a wrong type or is out of its range."""

    def __init__(self, file: object, reason: object) -> None:
        """`reason` names the value, by its dotted path where available."""
        super().__init__(file, f"{file}: {reason}")
