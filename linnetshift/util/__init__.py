"""Small state machines that several packages use."""
