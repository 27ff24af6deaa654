"""The binary `tanagercourse`: a thin command line over importable functions."""

import click

from tanagercourse.operators.demo_command import demo
from tanagercourse.operators.drain_commands import drain, undrain
from tanagercourse.operators.output import EXIT_CODES
from tanagercourse.operators.report_commands import report
from tanagercourse.operators.setting_commands import settings
from tanagercourse.operators.status_commands import explain, status


@click.group(
    context_settings={"auto_envvar_prefix": "TANAGERCOURSE"}, epilog=EXIT_CODES
)
def main() -> None:
    """Drive and watch a tanagercourse fleet.

    Each flag can be given as an environment variable instead, such as
    TANAGERCOURSE_TEAM for --team. For completion in bash, put this in ~/.bashrc:
    eval "$(_TANAGERCOURSE_COMPLETE=bash_source tanagercourse)"
    """


for command in (settings, status, explain, drain, undrain, report, demo):
    main.add_command(command)

if __name__ == "__main__":
    main(prog_name="tanagercourse")
