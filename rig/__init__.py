"""Test rigs shared by the tests and bench/: hostile peers, fleets of real processes, recorded decisions.

All are seeded, bounded, and on loopback only.
"""
