"""Errors of the configuration files and of the environment variables that name them.

Every text is one line: it goes to standard error at a start and into the log at a reload.
"""

from __future__ import annotations

# What reading a value of a wrong type or out of its range raises; the files' readers report it as
# InvalidValueError.
INVALID_VALUE_ERRORS = (ValueError, TypeError, AttributeError, OverflowError)


class ConfigurationError(Exception):
    """The configuration cannot be used; the text says which value is wrong and why."""


class EnvironmentVariableError(ConfigurationError):
    """An environment variable is missing or names something that cannot be used."""

    def __init__(self, variable: str, reason: str) -> None:
        """The message is the name of the variable followed by `reason`."""
        super().__init__(f"{variable} {reason}")
        self.variable = variable


class RestartRequiredError(ConfigurationError):
    """A reload found a change that only a new process can take up."""

    def __init__(self, section: str) -> None:
        """`section` is the table of the broker file that has changed."""
        super().__init__(f"a change of [{section}] needs a restart")
        self.section = section


class ConfigurationFileError(ConfigurationError):
    """A configuration file cannot be used; `file` is its path."""

    def __init__(self, file: object, text: str) -> None:
        """`text` is the whole message, which names the file."""
        super().__init__(text)
        self.file = str(file)


class UnreadableFileError(ConfigurationFileError):
    """A configuration file cannot be opened or read."""

    def __init__(self, file: object, reason: str | None) -> None:
        """`reason` is the text of the operating system's error."""
        super().__init__(file, f"cannot read {file}: {reason}")


class FileSyntaxError(ConfigurationFileError):
    """A configuration file is not a document of its format."""

    def __init__(self, file: object, file_format: str, reason: object) -> None:
        """`file_format` is JSON or TOML, `reason` what its parser says."""
        super().__init__(file, f"{file} is not {file_format}: {reason}")


class MissingSettingsError(ConfigurationFileError):
    """A proxy file has no object `settings`."""

    def __init__(self, file: object) -> None:
        """`file` is the path of the proxy file."""
        super().__init__(file, f"{file} holds no settings")


class MissingKeyError(ConfigurationFileError):
    """A configuration file lacks a required key; `key` is its dotted path in the document."""

    def __init__(self, file: object, key: object) -> None:
        """`key` is the dotted path as far as the reader of the value knows it."""
        super().__init__(file, f"{file}: key {key!r} is missing")
        self.key = str(key)


class InvalidValueError(ConfigurationFileError):
    """A value in a configuration file has a wrong type or is out of its range."""

    def __init__(self, file: object, reason: object) -> None:
        """`reason` names the value, by its path where the reader of the value knows it."""
        super().__init__(file, f"{file}: {reason}")
