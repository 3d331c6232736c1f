"""Golden tests: bytes, stored data and surfaces that a change of names must not change."""
