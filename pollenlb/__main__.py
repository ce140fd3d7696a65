"""Command lines of ``pollen-control``, ``pollen-entry`` and ``pollenctl``."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch
from pathlib import Path
from typing import Annotated, Any

import cappa

from .exceptions import PollenError
from .ids import CommandId
from .settings.ctl import CtlSettings

SettingsFile = Annotated[
    Path, cappa.Arg(long="--settings", help="Settings file in TOML.")
]


@dataclass
class Check:
    """Check the settings file and print every problem."""


@dataclass
class Init:
    """Format the data folder for the first start of a new cluster."""


@cappa.command(name="pollen-control")
@dataclass
class Control:
    """Run a control instance: a replica of the replicated log."""

    settings: SettingsFile
    action: cappa.Subcommands[Check | Init | None] = None


@cappa.command(name="pollen-entry")
@dataclass
class Entry:
    """Run an entry instance, which takes requests and routes them."""

    settings: SettingsFile
    action: cappa.Subcommands[Check | None] = None


@dataclass
class Running:
    """Show control instances, entries, backend servers and jobs.

    Example: pollenctl --settings desk.toml running
    """


@dataclass
class Late:
    """Show what is late; exit code 1 if anything is.

    Example: pollenctl late
    """

    step_s: Annotated[
        float,
        cappa.Arg(
            long="--step-s", help="Age in seconds above which an open step is late."
        ),
    ] = 780.0


@dataclass
class Changes:
    """Show accepted configuration changes, newest first.

    Example: pollenctl changes --most 5
    """

    most: Annotated[
        int, cappa.Arg(long="--most", help="Greatest number of changes.")
    ] = 20


@dataclass
class Status:
    """Show request latencies over all entries.

    Example: pollenctl status
    """


@dataclass
class Workspaces:
    """Show the workspaces: weight, priority and number of keys, never a key.

    Example: pollenctl workspaces
    """


@dataclass
class Duties:
    """Show who calls the infrastructure, its last calls, and ordered servers.

    Example: pollenctl duties
    """


@dataclass
class Timeline:
    """Show the events of all processes in causal order.

    Example: pollenctl timeline --about mostrador-1
    """

    folders: Annotated[
        list[Path], cappa.Arg(help="Folders instead of those in the settings.")
    ] = field(default_factory=list)
    about: Annotated[
        str | None,
        cappa.Arg(long="--about", help="Only events that mention this text."),
    ] = None
    last_s: Annotated[
        float | None,
        cappa.Arg(long="--last-s", help="Only events of the last seconds."),
    ] = None
    svg: Annotated[
        Path | None,
        cappa.Arg(long="--svg", help="Draw an SVG file with a lane per process."),
    ] = None


@cappa.command(name="set")
@dataclass
class Set:
    """Set configuration keys.

    Example: pollenctl set services.mostrador.kind=plain
    """

    assignments: Annotated[
        list[str], cappa.Arg(help="KEY=VALUE; the value none removes the key.")
    ] = field(default_factory=list)
    file: Annotated[
        Path | None, cappa.Arg(long="--file", help="TOML file with values to set.")
    ] = None
    based_on: Annotated[
        int | None,
        cappa.Arg(long="--based-on", help="Revision that the change is based on."),
    ] = None
    command_id: Annotated[
        str | None,
        cappa.Arg(long="--command-id", help="Id of an earlier attempt to repeat."),
    ] = None


@dataclass
class Drain:
    """Drain a backend server: give it no new work.

    Example: pollenctl drain mostrador-1
    """

    server: Annotated[str, cappa.Arg(help="Name of the backend server.")]
    undo: Annotated[bool, cappa.Arg(long="--undo", help="Give it new work again.")] = (
        False
    )


@dataclass
class Release:
    """Release a weight version to the backend servers of a service.

    Example: pollenctl release afilador-lm 7
    """

    service: Annotated[str, cappa.Arg(help="Name of the service.")]
    version: Annotated[int, cappa.Arg(help="Number of the weight version.")]


@dataclass
class Job:
    """Show a rollout job, or create one.

    Example: pollenctl job bevel service=afilador-lm
    """

    name: Annotated[str, cappa.Arg(help="Name of the job.")]
    assignments: Annotated[
        list[str], cappa.Arg(help="KEY=VALUE for each setting of a new job.")
    ] = field(default_factory=list)


@cappa.command(name="pollenctl")
@dataclass
class Ctl:
    """Show what is running, late or changed, and change the cluster."""

    settings: SettingsFile
    action: cappa.Subcommands[
        Running
        | Late
        | Changes
        | Status
        | Workspaces
        | Duties
        | Timeline
        | Set
        | Drain
        | Release
        | Job
        | Check
    ]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


def run_control() -> None:
    """Start ``pollen-control``."""
    arguments = cappa.parse(Control)
    from .commands import check, control

    if isinstance(arguments.action, Check):
        _run_or_exit(check.check_control, arguments.settings)
    elif isinstance(arguments.action, Init):
        _run_or_exit(control.init, arguments.settings)
    else:
        _run_or_exit(control.control, arguments.settings)


def run_entry() -> None:
    """Start ``pollen-entry``."""
    arguments = cappa.parse(Entry)
    from .commands import check, entry

    if isinstance(arguments.action, Check):
        _run_or_exit(check.check_entry, arguments.settings)
    else:
        _run_or_exit(entry.entry, arguments.settings)


def run_ctl() -> None:
    """Start ``pollenctl``."""
    arguments = cappa.parse(Ctl)
    _run_or_exit(_run_ctl, arguments)


def _run_ctl(arguments: Ctl) -> None:
    from .commands import check

    if isinstance(arguments.action, Check):
        check.check_ctl(arguments.settings)
        return
    settings = CtlSettings.load(arguments.settings)
    run_action(arguments.action, settings, arguments.json)


@singledispatch
def run_action(action: Any, settings: CtlSettings, is_json: bool) -> None:
    """Run the command of ``pollenctl`` that an action stands for."""
    raise TypeError(f"unknown action {action}")


@run_action.register
def _(action: Running, settings: CtlSettings, is_json: bool) -> None:
    from .commands.running import running

    running(settings, is_json)


@run_action.register
def _(action: Late, settings: CtlSettings, is_json: bool) -> None:
    from .commands.late import late

    if late(settings, is_json, action.step_s):
        sys.exit(1)


@run_action.register
def _(action: Changes, settings: CtlSettings, is_json: bool) -> None:
    from .commands.changes import changes

    changes(settings, is_json, action.most)


@run_action.register
def _(action: Status, settings: CtlSettings, is_json: bool) -> None:
    from .commands.status import status

    status(settings, is_json)


@run_action.register
def _(action: Workspaces, settings: CtlSettings, is_json: bool) -> None:
    from .commands.workspaces import workspaces

    workspaces(settings, is_json)


@run_action.register
def _(action: Duties, settings: CtlSettings, is_json: bool) -> None:
    from .commands.duties import duties

    duties(settings, is_json)


@run_action.register
def _(action: Timeline, settings: CtlSettings, is_json: bool) -> None:
    from .commands.timeline import timeline

    folders = action.folders or [Path(folder) for folder in settings.event_folders]
    timeline(folders, action.about, action.last_s, action.svg, is_json)


@run_action.register
def _(action: Set, settings: CtlSettings, is_json: bool) -> None:
    from .commands.change import set_keys

    command_id = CommandId(action.command_id) if action.command_id else None
    set_keys(settings, action.assignments, action.file, action.based_on, command_id)


@run_action.register
def _(action: Drain, settings: CtlSettings, is_json: bool) -> None:
    from .commands.change import drain

    drain(settings, action.server, action.undo)


@run_action.register
def _(action: Release, settings: CtlSettings, is_json: bool) -> None:
    from .commands.change import release

    release(settings, action.service, action.version)


@run_action.register
def _(action: Job, settings: CtlSettings, is_json: bool) -> None:
    from .commands.job import job

    job(settings, action.name, action.assignments, is_json)


def _run_or_exit(command: Callable[..., None], *arguments: Any) -> None:
    """Run a command; print its error and exit with the error's exit code."""
    try:
        command(*arguments)
    except PollenError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    except OSError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)
