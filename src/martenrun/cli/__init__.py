"""The ``martenrun`` command."""
