"""Command line of the bench: ``python -m wagtailkeel_bench``."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import click
import msgspec

from wagtailkeel_bench.agent_simulation import ServerCheckError
from wagtailkeel_bench.agent_simulation import draw_agent_history
from wagtailkeel_bench.agent_simulation import play_agent_history
from wagtailkeel_bench.agent_simulation import shrink_agent_history
from wagtailkeel_bench.child_process import BenchError
from wagtailkeel_bench.demonstration import run_demonstration
from wagtailkeel_bench.deployment import DEPLOYMENT_SPECS_BY_NAME
from wagtailkeel_bench.flow_simulation import FlowCheckError
from wagtailkeel_bench.flow_simulation import draw_flow_history
from wagtailkeel_bench.flow_simulation import play_flow_history
from wagtailkeel_bench.flow_simulation import shrink_flow_history
from wagtailkeel_bench.flow_simulation.loss_cost import LOSSES_BY_NAME
from wagtailkeel_bench.flow_simulation.loss_cost import measure_loss
from wagtailkeel_bench.handshake_soak import HandshakeSchedule
from wagtailkeel_bench.handshake_soak import draw_handshake_schedule
from wagtailkeel_bench.handshake_soak import run_handshake_soak
from wagtailkeel_bench.history_report import report_broken_histories
from wagtailkeel_bench.load_model import LOADS_BY_NAME
from wagtailkeel_bench.load_model import POLICIES_BY_NAME
from wagtailkeel_bench.load_model import format_table
from wagtailkeel_bench.load_model import simulate
from wagtailkeel_bench.measurements.forward import measure_forward
from wagtailkeel_bench.measurements.slopes import measure_slopes
from wagtailkeel_bench.measurements.table_build import measure_table_build
from wagtailkeel_bench.scenario.parser import ScenarioError
from wagtailkeel_bench.scenario.parser import parse_scenario
from wagtailkeel_bench.scenario.runner import run_scenario
from wagtailkeel_bench.simulation import InvariantError
from wagtailkeel_bench.simulation import draw_history
from wagtailkeel_bench.simulation import draw_partition_history
from wagtailkeel_bench.simulation import play
from wagtailkeel_bench.simulation import shrink as shrink_history
from wagtailkeel_bench.soak import Schedule
from wagtailkeel_bench.soak import draw_schedule
from wagtailkeel_bench.soak import run_soak
from wagtailkeel_bench.soak import shrink
from wagtailkeel_bench.test_runner import run_tests

MEASUREMENTS = {
    "forward": measure_forward,
    "slopes": measure_slopes,
    "table-build": measure_table_build,
}


@click.group()
def main() -> None:
    """Run tests, scenarios, measurements and load simulations of wagtailkeel."""


@main.command(name="run")
@click.option("--seconds", type=click.FloatRange(min=1), default=8.0)
def run_command(seconds: float) -> None:
    """Run a small site for a few seconds and print what its traffic got."""
    raise SystemExit(run_demonstration(seconds))


@main.command(name="test")
@click.option("--pattern", default="test_*.py")
def test_command(pattern: str) -> None:
    """Run the tests of the checkout."""
    raise SystemExit(run_tests(Path.cwd(), pattern))


@main.command(name="scenario")
@click.argument("scenario")
@click.option("--seed", type=int, default=1)
def scenario_command(scenario: str, seed: int) -> None:
    """Run SCENARIO and print the result as one JSON line.

    SCENARIO is the name of a file in bench/scenarios, a path or the name of a measurement. The
    exit status is 1 if an expectation failed and 2 if the run itself failed.
    """
    if scenario in MEASUREMENTS:
        click.echo(msgspec.json.encode(MEASUREMENTS[scenario]()).decode())
        return
    path = Path(scenario)
    if not path.exists():
        path = Path("bench/scenarios") / f"{scenario}.scenario"
    try:
        parsed = parse_scenario(path.read_text(), str(path))
        result = asyncio.run(run_scenario(parsed, path.stem, seed))
    except (BenchError, ScenarioError, OSError) as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(2) from error
    for failed in result["expectations_failed"]:
        click.echo(f"expectation failed: {failed}")
    click.echo(msgspec.json.encode(result).decode())
    raise SystemExit(1 if result["expectations_failed"] else 0)


@main.command(name="soak")
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--seeds", type=click.IntRange(min=1), default=1, help="Number of seeds to run.")
@click.option("--seconds", type=click.FloatRange(min=10), default=20.0, help="Length of a run.")
@click.option(
    "--deployment",
    type=click.Choice(sorted(DEPLOYMENT_SPECS_BY_NAME)),
    default="marshals",
    help="Site to run; without effect on the handshake roles.",
)
@click.option(
    "--roles",
    type=click.Choice(["directory", "handshake"]),
    default="directory",
    help="Roles to run: agent and balancer, or handshake_agent and handshake_balancer.",
)
@click.option("--shrink-runs", type=int, default=0, help="Runs spent on shrinking a failure.")
@click.option(
    "--results", type=click.Path(path_type=Path), default=Path("run/soak"), help="Result folder."
)
def soak_command(
    seed: int,
    seeds: int,
    seconds: float,
    deployment: str,
    roles: str,
    shrink_runs: int,
    results: Path,
) -> None:
    """Run random schedules of faults against real processes; print one line a seed.

    The exit status is 1 if an expectation failed and 2 if a run itself failed. The result file
    names the folder of the logs.
    """
    numbers = range(seed, seed + seeds)
    if roles == "handshake":
        statuses = {
            run_handshake_seed(draw_handshake_schedule(number, seconds), shrink_runs, results)
            for number in numbers
        }
    else:
        statuses = {
            run_soak_seed(draw_schedule(number, seconds, deployment), shrink_runs, results)
            for number in numbers
        }
    raise SystemExit(max(statuses))


def run_soak_seed(schedule: Schedule, shrink_runs: int, results: Path) -> int:
    """Run one schedule and print its result; return the exit status."""

    async def fails(smaller: Schedule) -> bool:
        return bool((await run_soak(smaller)).failed)

    try:
        result = asyncio.run(run_soak(schedule))
        if result.failed and shrink_runs:
            schedule = asyncio.run(shrink(schedule, fails, shrink_runs))
    except (BenchError, ExceptionGroup) as error:
        click.echo(f"seed {schedule.seed}: the run failed: {error!r}")
        return 2
    faults = " ".join(f"{fault.name}@{fault.at_s:g}" for fault in schedule.faults)
    verdict = "failed: " + "; ".join(result.failed) if result.failed else "ok"
    broken = result.measured["broken_flows"]
    click.echo(f"seed {schedule.seed}: {verdict}; broken flows {broken}; {faults}")
    click.echo(f"  {result.save(results)}")
    return 1 if result.failed else 0


def run_handshake_seed(schedule: HandshakeSchedule, shrink_runs: int, results: Path) -> int:
    """Run one schedule of the handshake roles and print its result; return the exit status."""

    async def fails(smaller: HandshakeSchedule) -> bool:
        return bool((await run_handshake_soak(smaller)).failed)

    try:
        result = asyncio.run(run_handshake_soak(schedule))
        if result.failed and shrink_runs:
            schedule = asyncio.run(shrink(schedule, fails, shrink_runs))
    except (BenchError, ExceptionGroup) as error:
        click.echo(f"seed {schedule.seed}: the run failed: {error!r}")
        return 2
    judgement = result.judgement
    click.echo(
        f"seed {schedule.seed}: {'failed' if result.failed else 'ok'}; flows"
        f" {judgement.opened_flows}, resets of held ones {len(judgement.broken_flows)}, of lost"
        f" ones {judgement.resets_of_lost_flows}, of openings {judgement.resets_of_openings};"
        f" late by up to {result.counters['max_lag_ms']} ms; "
        + " ".join(str(fault) for fault in schedule.faults)
    )
    for failed in result.failed:
        click.echo(f"  {failed}")
    click.echo(f"  {result.save(results)} {result.folder}")
    return 1 if result.failed else 0


@main.command(name="simulate")
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--runs", type=click.IntRange(min=1), default=100, help="Number of histories.")
@click.option("--strict", is_flag=True, help="Draw also what control is known not to bear.")
@click.option("--partitions", is_flag=True, help="Draw partitions after losses and additions.")
def simulate_command(seed: int, runs: int, strict: bool, partitions: bool) -> None:
    """Play histories of faults against the consensus of control, in virtual time.

    A history that breaks an invariant is shrunk and printed as a list of faults; the exit status
    is 1 then.
    """
    draw = draw_partition_history if partitions else draw_history
    histories = (draw(number, is_strict=strict) for number in range(seed, seed + runs))
    broken = report_broken_histories(histories, play, shrink_history, InvariantError)
    raise SystemExit(1 if broken else 0)


@main.command(name="simulate-agent")
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--runs", type=click.IntRange(min=1), default=100, help="Number of histories.")
def simulate_agent_command(seed: int, runs: int) -> None:
    """Play histories of one agent and its server in virtual time, judged at the server's end.

    A history that fails a check is shrunk and printed as a list of faults; the exit status is 1
    then.
    """
    histories = (draw_agent_history(number) for number in range(seed, seed + runs))
    broken = report_broken_histories(
        histories, play_agent_history, shrink_agent_history, ServerCheckError
    )
    raise SystemExit(1 if broken else 0)


@main.command(name="simulate-flows")
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--runs", type=click.IntRange(min=1), default=100, help="Number of histories.")
@click.option("--shrink/--no-shrink", "shrinks", default=True, help="Shrink what fails.")
@click.option(
    "--unknown-packets",
    type=click.Choice(["returned", "reset"]),
    default="returned",
    help="What servers do with packets of flows that they don't hold.",
)
def simulate_flows_command(seed: int, runs: int, shrinks: bool, unknown_packets: str) -> None:
    """Play histories of agents, servers, balancers and callers in virtual time.

    A history in which a caller is reset although its flow's server holds the flow is shrunk and
    printed as a list of faults; the exit status is 1 then.
    """
    broken = 0
    totals: Counter[str] = Counter()
    for number in range(seed, seed + runs):
        history = draw_flow_history(number, returns_packets=unknown_packets == "returned")
        try:
            totals.update(play_flow_history(history).count())
        except FlowCheckError as error:
            broken += 1
            click.echo(f"seed {number}: {error}")
            for fault in shrink_flow_history(history).faults if shrinks else ():
                click.echo(f"  {fault}")
    click.echo(" ".join(f"{name}={count}" for name, count in sorted(totals.items())))
    click.echo(f"{runs} histories, {broken} broken")
    raise SystemExit(1 if broken else 0)


@main.command(name="measure-lost-flows")
@click.option("--seed", type=int, default=1, help="First seed.")
@click.option("--runs", type=click.IntRange(min=1), default=20, help="Histories for each loss.")
@click.option("--deadline", type=click.FloatRange(min=0.5), default=8.0, help="In seconds.")
def measure_lost_flows_command(seed: int, runs: int, deadline: float) -> None:
    """Print what callers get on flows that are lost with their servers, a line for each loss."""
    for name in LOSSES_BY_NAME:
        click.echo(measure_loss(name, range(seed, seed + runs), deadline))


@main.command(name="load-model")
@click.argument("load", type=click.Choice(sorted(LOADS_BY_NAME)))
@click.option("--seed", type=int, default=1)
@click.option(
    "--servers",
    type=click.IntRange(min=1),
    help="Number of servers of speed 1, instead of the load's servers.",
)
@click.option("--rate", type=click.FloatRange(min=0.1), help="Requests per second outside a surge.")
@click.option("--plot/--no-plot", default=True)
def load_model_command(
    load: str, seed: int, servers: int | None, rate: float | None, plot: bool
) -> None:
    """Simulate LOAD in virtual time against the real routing code; print a line per policy."""
    selected_load = LOADS_BY_NAME[load]
    if servers is not None:
        selected_load = msgspec.structs.replace(selected_load, server_speeds=(1.0,) * servers)
    if rate is not None:
        selected_load = msgspec.structs.replace(selected_load, requests_per_s=rate)
    results = {
        name: simulate(selected_load, policy, seed) for name, policy in POLICIES_BY_NAME.items()
    }
    click.echo(f"{load}: {selected_load.summary}")
    click.echo(format_table(results))
    if plot:
        for name, result in results.items():
            click.echo("\n".join(["", f"answered in time, {name}", *result.plot()]))


if __name__ == "__main__":
    main()
