"""Run the soak: one seed after another for some minutes, or one seed again."""

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
    SoakEnvironment,
    run_environment,
)
from tanagercourse.soak.faults import inject_faults, stop_one_by_one

# Answers with success that end a soak once its faults have ended.
REQUIRED_RESPONSES = 100
# How long they may take, in seconds.
RECOVERY_TIMEOUT_S = 60.0
LARGEST_SEED = 2**31
# Exit code when a signal ended the soak.
EXIT_ON_SIGNAL = 130


@dataclass(frozen=True)
class SeedResult:
    """What one seed showed.

    Attributes:
        has_recovered: Whether requests were served again after the last fault.
        folder: Where its logs are.
    """

    checks: Checks
    injected: list[str]
    has_recovered: bool
    folder: Path

    @property
    def has_passed(self) -> bool:
        """Return whether every promise was kept."""
        return self.has_recovered and not self.checks.violations


async def soak(seed: int, length_s: float, folder: Path) -> SeedResult:
    """Run one seed.

    Args:
        seed: Decides everything that is drawn.
        length_s: How long faults are injected, in seconds.
        folder: Where settings and logs are kept.
    """
    async with run_environment(seed, folder) as environment:
        is_over = anyio.Event()
        for number in range(CALLER_COUNT):
            environment.tasks.start_soon(run_caller, environment, number, is_over)
        await _wait_until_served(environment)
        injected = await inject_faults(environment, seed, length_s)
        has_recovered = await _wait_until_served(environment)
        await stop_one_by_one(environment)
        is_over.set()
        return SeedResult(environment.checks, injected, has_recovered, folder)


async def soak_until_signal(
    seed: int, length_s: float, folder: Path
) -> SeedResult | None:
    """Run one seed; end every process and return None when a signal comes."""
    result: SeedResult | None = None
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:

            async def cancel_on_signal() -> None:
                async for _ in signals:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_signal)
            result = await soak(seed, length_s, folder)
            tasks.cancel_scope.cancel()
    return result


async def _wait_until_served(environment: SoakEnvironment) -> bool:
    """Wait until requests have been served; return False if none are for long."""
    statuses = environment.checks.statuses
    required_count = statuses["200"] + REQUIRED_RESPONSES
    with anyio.move_on_after(RECOVERY_TIMEOUT_S):
        while statuses["200"] < required_count:
            await anyio.sleep(0.05)
        return True
    return False


@click.command()
@click.option("--seed", type=int, help="Run this seed alone.")
@click.option("--seeds", default=1, help="Run this many fresh seeds.")
@click.option("--length", "length_s", default=20.0, help="Seconds of faults a seed.")
def main(seed: int | None, seeds: int, length_s: float) -> None:
    """Run the soak; exit with 1 when a promise was broken."""
    system_random = SystemRandom()
    random_seeds = [system_random.randrange(LARGEST_SEED) for _ in range(seeds)]
    selected_seeds = random_seeds if seed is None else [seed]
    has_failed = False
    faults: Counter[str] = Counter()
    checked: Counter[str] = Counter()
    for current_seed in selected_seeds:
        click.echo(f"seed {current_seed}")
        folder = Path(mkdtemp(prefix="soak-"))
        result = anyio.run(soak_until_signal, current_seed, length_s, folder)
        if result is None:
            sys.exit(EXIT_ON_SIGNAL)
        faults.update(result.injected)
        checked.update({p.name: n for p, n in result.checks.checked.items()})
        click.echo(f"  {dict(result.checks.statuses)}")
        if result.has_passed:
            shutil.rmtree(result.folder)
            continue
        has_failed = True
        click.echo(f"  broken; logs in {result.folder}")
        for line in result.checks.violations[:20] or [
            "not served after the last fault"
        ]:
            click.echo(f"  {line}")
    click.echo(f"faults {faults.total()}: {dict(faults)}")
    click.echo(f"checked: {dict(checked)}")
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
