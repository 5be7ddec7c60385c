"""Checkers: match what all sides of a run recorded, and verify invariants over it."""
