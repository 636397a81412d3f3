"""Runs one stand-in as a process of its own: ``python -m standins KIND``."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated, Any

import typer

from ramppin.document import read_document
from standins.common import StandIn
from standins.deployment import OPERATOR_KEY, Deployment
from standins.engine import EngineOptions, EngineStandIn
from standins.log import LogStandIn
from standins.service import ServiceStandIn
from standins.vms import VmListStandIn
from standins.weights import WeightStoreStandIn

app = typer.Typer(add_completion=False, help="Stand-ins for tests.")
Port = Annotated[int, typer.Option(help="Port to listen on; 0 picks a free one.")]


async def _serve(stand_in: StandIn) -> None:
    await stand_in.start()
    typer.echo(f"listening {stand_in.address}")
    await stand_in.wait()


@app.command()
def engine(
    name: str,
    port: Port = 0,
    slots: int = 16,
    prefix_tokens: int = 20_000,
    token_s: float = 0.004,
    prefill_token_s: float = 0.0002,
) -> None:
    """Run a model engine."""
    options = EngineOptions(
        slots=slots,
        prefix_tokens=prefix_tokens,
        token_s=token_s,
        prefill_token_s=prefill_token_s,
    )
    stand_in = EngineStandIn(name, options=options)
    asyncio.run(_serve(StandIn(stand_in.app, port=port)))


@app.command()
def service(
    name: str, port: Port = 0, work_s: float = 0.01, honours_keys: bool = False
) -> None:
    """Run a plain service."""
    stand_in = ServiceStandIn(name, work_s=work_s, honours_keys=honours_keys)
    asyncio.run(_serve(StandIn(stand_in.app, port=port)))


@app.command()
def log(port: Port = 0, rate: float = 300.0, retention_s: float = 0.0) -> None:
    """Run the append-only log service."""
    stand_in = LogStandIn(rate=rate, retention_s=retention_s)
    asyncio.run(_serve(StandIn(stand_in.app, port=port)))


@app.command()
def vms(port: Port = 0, lag_s: float = 1.0) -> None:
    """Run the list of VMs."""
    stand_in = VmListStandIn(lag_s=lag_s)
    asyncio.run(_serve(StandIn(stand_in.app, port=port)))


@app.command()
def weights(port: Port = 0, rate: float = 2.0) -> None:
    """Run the weight store."""
    stand_in = WeightStoreStandIn(rate=rate)
    asyncio.run(_serve(StandIn(stand_in.app, port=port)))


@app.command()
def fleet(
    settings: Annotated[
        Path, typer.Argument(help="The fleet's settings, JSON with comments.")
    ] = Path("examples/coral.jsonc"),
    routers: Annotated[int, typer.Option(help="How many router VMs.")] = 8,
    seconds: Annotated[float, typer.Option(help="0 runs until Ctrl-C.")] = 0.0,
) -> None:
    """Run a whole fleet, each part a process of its own."""
    tree = read_document(settings).unwrap()
    asyncio.run(_run_fleet(dict(tree), routers, seconds))


async def _run_fleet(tree: dict[str, Any], routers: int, seconds: float) -> None:
    deployment = Deployment(tree, routers=routers)
    try:
        await deployment.start()
        for name in deployment.routers:
            callers, operators = (
                deployment.caller_url(name),
                deployment.operator_url(name),
            )
            typer.echo(f"{name}  callers {callers}  operators {operators}")
        typer.echo(f"operators' key: {OPERATOR_KEY}; a sample's API key: key-CUSTOMER")
        if seconds:
            await asyncio.sleep(seconds)
        else:
            await asyncio.Event().wait()
    finally:
        await deployment.stop()


if __name__ == "__main__":
    app()
