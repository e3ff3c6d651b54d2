"""Stand-in peers that mean harm, shared by the tests and by bench/: seeded, bounded, on loopback only."""
