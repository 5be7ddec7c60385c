"""The network between the processes of a run: relays whose links can be cut, slowed, reset and healed."""
