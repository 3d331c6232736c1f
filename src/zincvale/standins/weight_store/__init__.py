"""The weight store: sends weights at a bandwidth that its concurrent pulls share.

Order to read: `bandwidth` (pure max-min fair sharing), `server` (HTTP).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
