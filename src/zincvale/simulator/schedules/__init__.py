"""Schedules of faults and changes: generated from seeds or hand-written, run, shrunk and saved.

Owns the format of schedule files and the outcome of a schedule. Imports `simulator.cluster`.

Read in this order: `schedule` (steps), `drawing` (schedules from seeds), `directed` (hand-written
scenarios), `run` (runs one schedule), `shrink`, `schedule_files`, `exploring` (runs many seeds,
also in worker processes).
"""
