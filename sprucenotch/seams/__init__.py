"""Where the program touches what a test must be able to break: clocks and disks."""
