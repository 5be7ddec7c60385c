"""The rig: stand-ins for all that a sidecar talks to, on loopback. The sidecar imports none of it."""
