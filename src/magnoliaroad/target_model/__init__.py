"""What a host knows of the speed and load of targets, and placement by it."""
