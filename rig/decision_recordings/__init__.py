"""Recordings of the `sim` command's decisions in small simulated fleets, for the replay test to compare with.

Each scenario is a closed loop: the recorder sends batches of events to the command, reads its replies and
lets simulated endpoints, clients, discovery and peers react to them. A scenario is seeded and the command is
deterministic, so the same code gives the same files. Nothing of the program is imported, so that the
recordings do not depend on its names.
"""
