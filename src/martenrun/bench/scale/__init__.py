"""The scale run: many hollow nodes, agents and runners with the real decision logic.

See also: docs/CAPACITY.md, :mod:`martenrun.capacity`.
"""
