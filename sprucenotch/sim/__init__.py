"""The adapter for the simulator: the same decisions on its wire."""
