"""Run the soak with a number of random seeds, or repeat a given seed."""

import shutil
import signal
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from tempfile import mkdtemp

import anyio
import click

from tanagercourse.soak.callers import run_caller
from tanagercourse.soak.checks import Checks
from tanagercourse.soak.environment import (
    CALLER_COUNT,
    FLOODING_COUNT,
    PIPELINING_COUNT,
    SLOW_READER_COUNT,
    SoakEnvironment,
    run_environment,
)
from tanagercourse.soak.faults import inject_faults, stop_one_by_one
from tanagercourse.soak.instance_process import InstanceProcess
from tanagercourse.soak.overruns import STACKS_FILE, OverrunError, watch_run
from tanagercourse.soak.pipelining import run_pipelining_caller, run_slow_reader
from tanagercourse.soak.tenants import TENANTS

# Successful responses required before the first fault and again after the last one.
REQUIRED_RESPONSES = 100
# Time within which these responses must arrive, in seconds.
RECOVERY_TIMEOUT_S = 60.0
# Time by which a run may exceed its length before it is ended, in seconds.
OVERRUN_S = 60.0
SEED_LIMIT = 2**31
# Exit code after SIGINT or SIGTERM; shells use 128 plus 2, the number of SIGINT.
EXIT_ON_SIGNAL = 130


@dataclass(frozen=True)
class SeedResult:
    """Result of a run with one seed.

    Attributes:
        checks: The run's checks and the violations found.
        injected: Names of the injected faults, in order.
        has_recovered: Whether requests were served again after the last fault.
        folder: Folder of the run's settings and logs.
    """

    checks: Checks
    injected: list[str]
    has_recovered: bool
    folder: Path

    @property
    def has_passed(self) -> bool:
        """Return whether requests were served again and every invariant held."""
        return self.has_recovered and not self.checks.violations


async def soak(
    seed: int, length_s: float, folder: Path, instances: list[InstanceProcess]
) -> SeedResult:
    """Run the soak with one seed.

    Args:
        seed: Seed of all random choices.
        length_s: Time during which faults are started, in seconds.
        folder: Folder for settings and logs.
        instances: Receives the instances before their processes start.
    """
    async with run_environment(seed, folder, instances) as environment:
        is_over = anyio.Event()
        for number in range(CALLER_COUNT):
            environment.tasks.start_soon(run_caller, environment, number, is_over)
        for number in range(CALLER_COUNT, CALLER_COUNT + FLOODING_COUNT):
            environment.tasks.start_soon(
                run_caller, environment, number, is_over, TENANTS[0]
            )
        for number in range(PIPELINING_COUNT):
            environment.tasks.start_soon(
                run_pipelining_caller, environment, number, is_over
            )
        for number in range(SLOW_READER_COUNT):
            environment.tasks.start_soon(run_slow_reader, environment, number, is_over)
        await _wait_until_served(environment)
        # Removed again after the faults, so that a short run checks that too.
        environment.add_key(environment.random)
        injected = await inject_faults(environment, seed, length_s)
        environment.remove_key(environment.random)
        has_recovered = await _wait_until_served(environment)
        await stop_one_by_one(environment)
        is_over.set()
        return SeedResult(environment.checks, injected, has_recovered, folder)


def run_seed(seed: int, length_s: float, folder: Path) -> SeedResult | None:
    """Run the soak with one seed, and end it if it takes too long.

    Args:
        seed: Seed of all random choices.
        length_s: Time during which faults are started, in seconds.
        folder: Folder for settings and logs.

    Returns:
        The result, or None after SIGINT or SIGTERM.
    """
    instances: list[InstanceProcess] = []

    def kill_processes() -> None:
        for instance in instances:
            instance.kill()

    try:
        with watch_run(length_s + OVERRUN_S, folder, kill_processes):
            return anyio.run(soak_until_signal, seed, length_s, folder, instances)
    except* OverrunError:
        checks = Checks(violations=[f"the run did not end; see the file {STACKS_FILE}"])
    return SeedResult(checks, [], False, folder)


async def soak_until_signal(
    seed: int, length_s: float, folder: Path, instances: list[InstanceProcess]
) -> SeedResult | None:
    """Run one seed; on SIGINT or SIGTERM kill every process and return None."""
    result: SeedResult | None = None
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:

            async def cancel_on_signal() -> None:
                async for _ in signals:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_signal)
            result = await soak(seed, length_s, folder, instances)
            tasks.cancel_scope.cancel()
    return result


async def _wait_until_served(environment: SoakEnvironment) -> bool:
    """Wait for the required responses; return False if they do not arrive in time."""
    outcome_counts = environment.checks.outcome_counts
    required_count = outcome_counts["200"] + REQUIRED_RESPONSES
    with anyio.move_on_after(RECOVERY_TIMEOUT_S):
        while outcome_counts["200"] < required_count:
            await anyio.sleep(0.05)
        return True
    return False


@click.command()
@click.option("--seed", type=int, help="Run only this seed.")
@click.option("--seeds", default=1, help="Number of random seeds to run.")
@click.option("--length", "length_s", default=20.0, help="Seconds of faults per seed.")
def main(seed: int | None, seeds: int, length_s: float) -> None:
    """Run the soak; exit with 1 if a seed violated an invariant or did not recover."""
    system_random = SystemRandom()
    random_seeds = [system_random.randrange(SEED_LIMIT) for _ in range(seeds)]
    selected_seeds = random_seeds if seed is None else [seed]
    has_failed = False
    faults: Counter[str] = Counter()
    check_counts: Counter[str] = Counter()
    for current_seed in selected_seeds:
        click.echo(f"seed {current_seed}")
        folder = Path(mkdtemp(prefix="soak-"))
        result = run_seed(current_seed, length_s, folder)
        if result is None:
            sys.exit(EXIT_ON_SIGNAL)
        faults.update(result.injected)
        check_counts.update(
            {
                invariant.name: count
                for invariant, count in result.checks.check_counts.items()
            }
        )
        click.echo(f"  {dict(result.checks.outcome_counts)}")
        if result.has_passed:
            shutil.rmtree(result.folder)
            continue
        has_failed = True
        click.echo(f"  failed; logs in {result.folder}")
        for line in result.checks.violations[:20] or [
            "fewer successful responses than required after the last fault"
        ]:
            click.echo(f"  {line}")
    click.echo(f"faults {faults.total()}: {dict(faults)}")
    click.echo(f"checked: {dict(check_counts)}")
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
