"""Deterministic simulation of the daemons' own state machines in virtual time."""
