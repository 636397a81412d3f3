"""The command line: ``ramppin``.

Exit codes: 0 done; 1 an error; 2 bad settings or usage; 3 a conflict with a
newer version; 4 the log is not there; 5 a VM could not be reached.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
from returns.result import Failure, Success

from ramppin import formatting
from ramppin.clock import run
from ramppin.document import read_document, validate_document
from ramppin.errors import RamppinError
from ramppin.gateway.process.gateway import Gateway
from ramppin.gateway.process.recovery.filetables import (
    ROUTING_PART,
    SERVERS_PART,
    FileTable,
    LocalTable,
)
from ramppin.gateway.process.recovery.tables import GatewaySources
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.settingsfile import GatewayFile, load_gateway_file
from ramppin.gateway.version.routingfile import TreeDecoder
from ramppin.logs import start_logging
from ramppin.losses import Grouping, LossReport
from ramppin.router.connection.operator import OperatorClient
from ramppin.router.process.config import RouterConfig, load_config
from ramppin.router.process.router import Router
from ramppin.router.version.schema import SettingsTree
from ramppin.signals import SignalTime, handle_signal

EXIT_CODES = (
    "Exit codes: 0 done, 1 error, 2 bad settings or usage, 3 conflict with a "
    "newer version, 4 log not there, 5 VM not reached."
)

app = typer.Typer(
    help=f"A router fleet for very many returning chats. {EXIT_CODES}",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
settings_app = typer.Typer(help="Look at the settings in force.", no_args_is_help=True)
app.add_typer(settings_app, name="settings")

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Url = Annotated[
    str,
    typer.Option(
        envvar="RAMPPIN_OPERATOR_URL",
        help="Operators' address of any router VM.",
    ),
]
Key = Annotated[
    str, typer.Option(envvar="RAMPPIN_OPERATOR_KEY", help="The operators' key.")
]
DEFAULT_URL = "http://127.0.0.1:8081"


@app.command()
def router(
    settings: Annotated[Path, typer.Option(help="The VM's own settings file.")],
    caller_port: Annotated[int | None, typer.Option(help="Port for callers.")] = None,
    operator_port: Annotated[
        int | None, typer.Option(help="Port for operators.")
    ] = None,
    peer_port: Annotated[
        int | None, typer.Option(help="Port for other routers.")
    ] = None,
    log_level: Annotated[str | None, typer.Option(help="DEBUG to ERROR.")] = None,
) -> None:
    """Run one router VM until SIGTERM, then drain; SIGINT stops at once."""
    flags = {
        "caller_port": caller_port,
        "operator_port": operator_port,
        "peer_port": peer_port,
        "log_level": log_level,
    }
    match load_config(settings, flags=flags):
        case Success(config):
            start_logging(config.vm, config.log_level)
            run(_run_router(config))
        case Failure(error):
            _exit(error)


@app.command()
def gateway(
    settings: Annotated[Path, typer.Option(help="The gateway's own settings file.")],
    caller_port: Annotated[int | None, typer.Option(help="Port for callers.")] = None,
    log_level: Annotated[str, typer.Option(help="DEBUG to ERROR.")] = "INFO",
) -> None:
    """Run one gateway, which passes HTTP through, until SIGTERM."""
    match load_gateway_file(settings):
        case Success(found):
            if caller_port is not None:
                found = found.model_copy(update={"caller_port": caller_port})
            start_logging(found.vm, log_level, limit_repeats=True)
            run(_run_gateway(found))
        case Failure(error):
            _exit(error)


@app.command()
def demo(
    port: Annotated[
        int, typer.Option(help="Port for callers; 0 picks a free one.")
    ] = 8080,
) -> None:
    """Run a small fleet in one process, to try it out."""
    try:
        from standins.demo import run_demo
    except ImportError:
        _exit(RamppinError("the demo needs the stand-ins", hint="run it from a clone"))
    run(run_demo(port))


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="Settings, JSON with comments.")],
    own: Annotated[
        bool, typer.Option("--own", help="A VM's own settings, not the fleet's.")
    ] = False,
) -> None:
    """Check a settings file without publishing it."""
    if own:
        result: Any = load_config(file)
    else:
        result = read_document(file).bind(
            lambda document: validate_document(SettingsTree, document, str(file))
        )
    match result:
        case Success(_):
            typer.echo(f"{file}: valid")
        case Failure(error):
            _exit(error)


@app.command()
def publish(
    file: Annotated[Path, typer.Argument(help="The whole tree, or a patch.")],
    base: Annotated[int, typer.Option(help="The version that it was made from.")],
    patch: Annotated[
        bool, typer.Option("--patch", help="The file is a JSON merge patch.")
    ] = False,
    author: Annotated[str, typer.Option(help="Who makes the change.")] = "",
    nonce: Annotated[
        str, typer.Option(help="Mark of an earlier try whose answer was lost.")
    ] = "",
    url: Url = DEFAULT_URL,
    key: Key = "",
    as_json: Json = False,
) -> None:
    """Publish a change of the settings; a conflict is reported, never overwritten."""
    document = read_document(file)
    if not patch:
        checked = document.bind(
            lambda tree: validate_document(SettingsTree, tree, str(file))
        )
        if isinstance(checked, Failure):
            _exit(checked.failure())
    match document:
        case Success(value):
            name = "patch" if patch else "tree"
            body = {"base": base, "author": author, "nonce": nonce, name: value}
            found = _ask(OperatorClient(url, key).publish(body))
            _print(found, as_json, formatting.show_verdict(found))
        case Failure(error):
            _exit(error)


@settings_app.command("show")
def show_settings(url: Url = DEFAULT_URL, key: Key = "", as_json: Json = False) -> None:
    """Show the settings in force with their version."""
    found = _ask(OperatorClient(url, key).get("/settings"))
    _print(found, as_json, formatting.show_settings(found))


@settings_app.command("diff")
def diff_settings(
    file: Annotated[Path, typer.Argument(help="Settings to compare.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
) -> None:
    """Show how a file differs from the settings in force."""
    match read_document(file):
        case Success(document):
            found = _ask(OperatorClient(url, key).get("/settings"))
            typer.echo(formatting.show_diff(found, document, str(file)), nl=False)
        case Failure(error):
            _exit(error)


@settings_app.command("history")
def show_history(url: Url = DEFAULT_URL, key: Key = "", as_json: Json = False) -> None:
    """Show what became of the newest changes."""
    found = _ask(OperatorClient(url, key).get("/settings/history"))
    _print(found, as_json, formatting.show_history(found))


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Ramppin-Request-Id.")],
    url: Url = DEFAULT_URL,
    key: Key = "",
    as_json: Json = False,
) -> None:
    """Explain a decision, through any VM, in terms of the settings."""
    found = _ask(OperatorClient(url, key).get(f"/explain/{request_id}"))
    _print(found, as_json, formatting.show_explanation(found))


@app.command()
def losses(
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Files of decision lines; standard input without any."),
    ] = None,
    by: Annotated[
        list[Grouping] | None,
        typer.Option(help="Sum up by this; may be given again. All if not given."),
    ] = None,
    top: Annotated[int, typer.Option(min=1, help="Rows of each table.")] = 12,
) -> None:
    """Sum up the requests that gateways lost, refused or answered late.

    Reads decision lines as a stream; lines that are none are counted and the first
    is named.

    .. versionadded:: 0.2
    """
    report = LossReport()
    for file in files or []:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                report.take_lines(str(file), lines)
        except OSError as error:
            _exit(RamppinError(str(error), hint="a file of decision lines"))
    if not files:
        report.take_lines("standard input", sys.stdin)
    typer.echo(formatting.show_losses(report, by or list(Grouping), top))


@app.command()
def dump(url: Url = DEFAULT_URL, key: Key = "") -> None:
    """Print the state of one router VM as JSON."""
    typer.echo(json.dumps(_ask(OperatorClient(url, key).get("/dump")), indent=2))


@app.command()
def drain(url: Url = DEFAULT_URL, key: Key = "") -> None:
    """Let one router VM leave without cutting a request."""
    _ask(OperatorClient(url, key).post("/drain"))
    typer.echo("draining")


@app.command()
def status(url: Url = DEFAULT_URL, key: Key = "", as_json: Json = False) -> None:
    """Show the fleet at a glance, as one VM sees it."""
    found = _ask(OperatorClient(url, key).get("/status"))
    _print(found, as_json, formatting.show_status(found))


def main() -> None:
    """Run the command line."""
    app()


async def _run_router(config: RouterConfig) -> None:
    process = Router(config)
    _handle_signals(process, lambda signal_time: process.start_drain())
    await process.start()
    typer.echo(
        f"listening callers={process.callers.port} "
        f"operators={process.operators.port} peers={process.peer_server.port}"
    )
    await process.stopped.wait()


async def _run_gateway(found: GatewayFile) -> None:
    sources = GatewaySources(
        settings=FileTable(found.tables, ROUTING_PART),
        servers=FileTable(found.tables, SERVERS_PART),
        members=LocalTable(),
        homes=LocalTable(),
        builds=LocalTable(),
        origins=LocalTable(),
        decoder=TreeDecoder(),
    )
    process = Gateway(found.build_config(), sources, DecisionLog(found.vm))
    _handle_signals(process, process.start_drain)
    await process.start()
    typer.echo(
        f"listening callers={process.caller_port} "
        f"readiness={process.readiness_port} operations={process.operations_port}",
        err=True,
    )
    await process.stopped.wait()


def _handle_signals(
    process: Router | Gateway, start_drain: Callable[[SignalTime], None]
) -> None:
    """Let SIGTERM begin a planned stop, and SIGINT stop at once."""
    loop = asyncio.get_running_loop()
    handle_signal(signal.SIGTERM, start_drain)
    loop.add_signal_handler(
        signal.SIGINT, lambda: asyncio.ensure_future(process.stop())
    )


def _ask(work: Coroutine[Any, Any, dict[str, Any]]) -> dict[str, Any]:
    try:
        return run(work)
    except RamppinError as error:
        _exit(error)


def _print(found: dict[str, Any], as_json: bool, text: str) -> None:
    typer.echo(json.dumps(found, indent=2) if as_json else text)


def _exit(error: RamppinError) -> NoReturn:
    typer.echo(f"error: {error.show()}", err=True)
    raise typer.Exit(error.exit_code)
