"""Schedules of faults and changes: drawn from seeds, written by hand, run, shrunk and stored.

Owns the format of schedule files and the outcome of a run. Imports `simulator.cluster`.

Read in this order: `schedule` (steps), `drawing` (from a seed) and `directed` (by hand), `run` (one
schedule), `shrink`, `schedule_files`, `exploring` (many seeds, also as worker processes).
"""
