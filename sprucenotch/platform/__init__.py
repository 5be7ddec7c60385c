"""Interfaces to the operating system that tests can replace or make fail: clocks, disks, system calls."""
