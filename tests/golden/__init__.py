"""Golden tests: encoded bytes, stored data and interfaces that renaming must not change."""
