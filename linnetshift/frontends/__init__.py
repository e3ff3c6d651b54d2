"""What clients connect to."""
