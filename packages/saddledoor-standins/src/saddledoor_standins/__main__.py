# SPDX-License-Identifier: MIT

"""
``python -m saddledoor_standins KIND``: runs one stand-in, the demo or the load tool.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import click

from ._serve import serve
from .engine import EngineOptions, engine_app
from .forwarder import forwarder_app
from .guests import GuestPlan, run_guests
from .log_service import log_app
from .platform_services import scorer_app, vm_list_app, weight_store_app
from .service import service_app
from .trainer import TrainerPlan, run_trainer


#: Names that the ``bench`` command accepts.
_BENCHES = ["slopes", "membership", "routing", "admission", "steps", "swaps", "all"]


@click.group()
def main() -> None:
    """
    Stand-ins of the platform, its callers and its trainers.
    """


@main.command()
@click.option("--listen", required=True)
def log(listen: str) -> None:
    """
    Run the append-only log service.
    """
    serve(listen, log_app())


@main.command()
@click.option("--listen", required=True)
@click.option("--options", required=True, help="EngineOptions as JSON.")
def engine(listen: str, options: str) -> None:
    """
    Run a model engine.
    """
    fields = json.loads(options)
    fields["models"] = tuple(fields["models"])
    serve(listen, engine_app(EngineOptions(**fields)))


@main.command()
@click.option("--listen", required=True)
@click.option("--name", required=True)
@click.option("--trace", default="", help="File to record its runs in.")
def service(listen: str, name: str, trace: str) -> None:
    """
    Run a plain service.
    """
    serve(listen, service_app(name, trace))


@main.command()
@click.option("--listen", required=True)
@click.option("--per-second", default=20)
def weights(listen: str, per_second: int) -> None:
    """
    Run the weight store.
    """
    serve(listen, weight_store_app(per_second))


@main.command()
@click.option("--listen", required=True)
@click.option("--lag", default=1.0)
def vms(listen: str, lag: float) -> None:
    """
    Run the platform's list of VMs.
    """
    serve(listen, vm_list_app(lag))


@main.command()
@click.option("--listen", required=True)
@click.option("--name", required=True)
def scorer(listen: str, name: str) -> None:
    """
    Run a service that scores samples.
    """
    serve(listen, scorer_app(name))


@main.command()
@click.option("--listen", required=True)
@click.option(
    "--routes", required=True, help="JSON map of listening to target address."
)
def forwarder(listen: str, routes: str) -> None:
    """
    Run TCP forwarders that can be told to cut, hang or lose answers.
    """
    serve(listen, forwarder_app(json.loads(routes)))


@main.command()
@click.option("--plan", required=True, help="GuestPlan as JSON.")
def guests(plan: str) -> None:
    """
    Send guests' requests and print what they saw as JSON.
    """
    fields = {k: tuple(v) if isinstance(v, list) else v for k, v in _json(plan).items()}
    click.echo(json.dumps(asyncio.run(run_guests(GuestPlan(**fields)))))


@main.command()
@click.option("--plan", required=True, help="TrainerPlan as JSON.")
def trainer(plan: str) -> None:
    """
    Draw one step and print what the trainer saw as JSON.
    """
    fields = {k: tuple(v) if isinstance(v, list) else v for k, v in _json(plan).items()}
    click.echo(json.dumps(asyncio.run(run_trainer(TrainerPlan(**fields)))))


@main.command()
@click.argument("deployment", type=click.Path(path_type=Path, exists=True))
def demo(deployment: Path) -> None:
    """
    Run a whole deployment for half a minute and print what its callers saw.
    """
    from .demo import run_demo

    sys.exit(run_demo(deployment))


@main.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
@click.option("--only", help="Name of one scenario.")
def record(folder: Path, only: str | None) -> None:
    """
    Record the traces of all scenarios and their broken twins into FOLDER.
    """
    from saddledoor.tracing import read_trace

    from .record import SCENARIOS, TRACE_ALTERATIONS, write_altered_trace
    from .record import record as record_one

    for name in SCENARIOS:
        if only not in (None, name):
            continue
        path = record_one(name, folder)
        click.echo(f"recorded {path}")
        events = read_trace(str(path), path.read_text().split("\n"))
        for promise, (source, _) in TRACE_ALTERATIONS.items():
            if source == name:
                click.echo(f"recorded {write_altered_trace(path, events, promise)}")


@main.command()
@click.argument("name", type=click.Choice(_BENCHES))
def bench(name: str) -> None:
    """
    Run the measurements that the docs quote.
    """
    from .bench.admission import measure_fairness, measure_overload
    from .bench.routing import routing
    from .bench.slopes import all_slopes, measure_membership
    from .bench.steps import measure_order, measure_preference
    from .bench.swaps import measure_swaps

    if name in ("routing", "all"):
        routing()
    if name in ("admission", "all"):
        measure_overload()
        measure_fairness()
    if name in ("steps", "all"):
        measure_order()
        measure_preference()
    if name in ("swaps", "all"):
        measure_swaps()
    if name == "membership":
        measure_membership()
    if name in ("slopes", "all"):
        all_slopes()


def _json(text: str) -> dict:
    return json.loads(text)


if __name__ == "__main__":
    main()
