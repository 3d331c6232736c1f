"""Adapter to one platform: its names, formats and calls. It decides nothing."""
