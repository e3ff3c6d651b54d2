"""Recordings of the `sim` command's decisions in small simulated fleets, as reference for the replay test.

Each scenario is a closed loop: the recorder sends batches of events to the command, reads its replies and
simulates how endpoints, clients, discovery and peers react to them. Scenarios are seeded and the command is
deterministic, so the same code produces the same files. Nothing is imported from the program, so that the
recordings do not depend on its names.
"""
