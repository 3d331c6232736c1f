"""zincvale: request routing and model placement, and a library for replicated coordination."""

__version__ = "0.1.0"
