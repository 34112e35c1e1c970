"""Report of what a stand-in engine executes, for observers outside the process.

A report is written before the first token, so that killing the engine loses none of them.

See also: :mod:`martenrun.proof.process_records`, which reads the reports.
"""

import os
import sys
from collections.abc import Callable

import msgspec


class ExecutionReport(msgspec.Struct, frozen=True):
    """One execution.

    ``caller_id`` is the request body's ``user`` field, which the router passes through.  Times
    are on the machine's monotonic clock, which all processes of one machine share, in seconds.
    """

    request_id: str
    caller_id: str
    tenant: str
    incarnation: str
    expected_incarnation: str
    weights_version: str
    received_s: float
    began_s: float


ReportExecution = Callable[[ExecutionReport], None]


def report_nothing(_report: ExecutionReport) -> None:
    """Drop a report."""


def print_report(report: ExecutionReport) -> None:
    """Write a report as one JSON line to standard output; a short line is written at once."""
    os.write(sys.stdout.fileno(), msgspec.json.encode(report) + b"\n")
