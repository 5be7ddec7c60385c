"""The adapter for the simulator: runs the same decisions behind its wire protocol."""
