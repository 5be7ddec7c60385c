"""The simulated network between the processes of a run: relays whose links can be cut, slowed and reset."""
