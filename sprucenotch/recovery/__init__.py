"""Hand-over of a sidecar's state to its successor: the host list and what was learned, each with its age.

Guarantees, design and measurements: `docs/recovery.md`. Not imported unless `state` is configured.
"""
