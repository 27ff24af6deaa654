"""The entry point of `tanagercourse`: a thin command line over importable functions."""

import click

from tanagercourse.operators.demo_command import demo
from tanagercourse.operators.drain_commands import drain, undrain
from tanagercourse.operators.log_commands import load, trace
from tanagercourse.operators.output import EXIT_CODES_HELP
from tanagercourse.operators.report_commands import report
from tanagercourse.operators.setting_commands import settings
from tanagercourse.operators.status_commands import explain, status


@click.group(
    context_settings={"auto_envvar_prefix": "TANAGERCOURSE"}, epilog=EXIT_CODES_HELP
)
def main() -> None:
    """Operate and observe a tanagercourse fleet.

    Each flag can also be set by an environment variable, such as TANAGERCOURSE_TEAM
    for --team. To enable completion in bash, add this line to ~/.bashrc:
    eval "$(_TANAGERCOURSE_COMPLETE=bash_source tanagercourse)"
    """


for command in (settings, status, explain, trace, drain, undrain, report, demo):
    main.add_command(command)
report.add_command(load)

if __name__ == "__main__":
    main(prog_name="tanagercourse")
