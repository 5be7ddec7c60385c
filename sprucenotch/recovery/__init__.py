"""What a sidecar hands to the process that follows it: its list and what it learned, each with an age.

Guarantees, design and figures: `docs/recovery.md`. Nothing here is imported where no `state` is configured.
"""
