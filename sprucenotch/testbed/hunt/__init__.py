"""The hunt: runs with overlapping faults drawn by seed; failing schedules are reduced and reported."""
