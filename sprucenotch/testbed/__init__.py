"""The testbed: simulated clients, servers and discovery on loopback. The sidecar imports none of it."""
