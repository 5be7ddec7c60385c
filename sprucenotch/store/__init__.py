"""Durable storage of typed records: a journal with snapshots, verified at every start.

Guarantees by mode (`docs/recovery.md` has them with their assumptions):

- `always`: a record whose `append` returned survives a power cut.
- `interval`: a record whose `append` returned before the last completed `sync` survives a power cut.
- `none`: a record whose `append` returned survives any end of the process.

In every mode the records found at a start are a prefix of those appended: none is invented, none is missing
in the middle. Broken files are never deleted but renamed (set aside), with a reason.
"""
