"""Kept-cache stores: which prefixes are exported to them, and when a runner imports one.

Pure decision logic; engines move the blocks themselves when they are told to.  Blocks are named
by hashes that cover tenant and weights version, so another tenant's or older weights' cache can
not match.
"""
