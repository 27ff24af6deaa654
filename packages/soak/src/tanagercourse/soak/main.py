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

from tanagercourse.soak.callers import call_on
from tanagercourse.soak.checks import Checks
from tanagercourse.soak.environment import CALLERS, World, run_world
from tanagercourse.soak.faults import inject_faults, stop_in_turn

# Answers with success that end a soak once its faults have ended.
ANSWERS_AFTER = 100
# How long they may take, in seconds.
RECOVERY_S = 60.0
LARGEST_SEED = 2**31
# Exit code when a signal ended the soak.
EXIT_TOLD = 130


@dataclass(frozen=True)
class Outcome:
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
    def is_kept(self) -> bool:
        """Return whether every promise was kept."""
        return self.has_recovered and not self.checks.broken


async def soak(seed: int, length_s: float, folder: Path) -> Outcome:
    """Run one seed.

    Args:
        seed: Decides everything that is drawn.
        length_s: How long faults are injected, in seconds.
        folder: Where settings and logs are kept.
    """
    async with run_world(seed, folder) as world:
        is_over = anyio.Event()
        for number in range(CALLERS):
            world.tasks.start_soon(call_on, world, number, is_over)
        await _serve_some(world)
        injected = await inject_faults(world, seed, length_s)
        has_recovered = await _serve_some(world)
        await stop_in_turn(world)
        is_over.set()
        return Outcome(world.checks, injected, has_recovered, folder)


async def soak_until_told(seed: int, length_s: float, folder: Path) -> Outcome | None:
    """Run one seed; end every process and return None when a signal comes."""
    outcome: Outcome | None = None
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                async for _ in signals:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            outcome = await soak(seed, length_s, folder)
            tasks.cancel_scope.cancel()
    return outcome


async def _serve_some(world: World) -> bool:
    """Wait until requests have been served; return False if none are for long."""
    statuses = world.checks.statuses
    wanted = statuses["200"] + ANSWERS_AFTER
    with anyio.move_on_after(RECOVERY_S):
        while statuses["200"] < wanted:
            await anyio.sleep(0.05)
        return True
    return False


@click.command()
@click.option("--seed", type=int, help="Run this seed alone.")
@click.option("--seeds", default=1, help="Run this many fresh seeds.")
@click.option("--length", "length_s", default=20.0, help="Seconds of faults a seed.")
def main(seed: int | None, seeds: int, length_s: float) -> None:
    """Run the soak; exit with 1 when a promise was broken."""
    drawn = SystemRandom()
    fresh = [drawn.randrange(LARGEST_SEED) for _ in range(seeds)]
    chosen = fresh if seed is None else [seed]
    has_failed = False
    faults: Counter[str] = Counter()
    checked: Counter[str] = Counter()
    for each in chosen:
        click.echo(f"seed {each}")
        folder = Path(mkdtemp(prefix="soak-"))
        outcome = anyio.run(soak_until_told, each, length_s, folder)
        if outcome is None:
            sys.exit(EXIT_TOLD)
        faults.update(outcome.injected)
        checked.update({p.name: n for p, n in outcome.checks.checked.items()})
        click.echo(f"  {dict(outcome.checks.statuses)}")
        if outcome.is_kept:
            shutil.rmtree(outcome.folder)
            continue
        has_failed = True
        click.echo(f"  broken; logs in {outcome.folder}")
        for line in outcome.checks.broken[:20] or ["not served after the last fault"]:
            click.echo(f"  {line}")
    click.echo(f"faults {faults.total()}: {dict(faults)}")
    click.echo(f"checked: {dict(checked)}")
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
