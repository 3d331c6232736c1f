"""The weight store: sends weights; its concurrent pulls share its bandwidth.

Order to read: `bandwidth` (max-min fair sharing, no I/O), `server` (HTTP).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
