"""The decisions of sprucenotch: timed events in, actions out, no I/O and no clock. The interface is
sprucenotch/api.py, the entry point balance.py."""
