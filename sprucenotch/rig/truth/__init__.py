"""The ledger of truth: what all sides of a run saw, matched, and judged by invariants."""
