"""Runs the ``martenrun`` command as ``python -m martenrun.cli``."""

from martenrun.cli.main import main

main()
