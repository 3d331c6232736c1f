"""Forwarding: requests with opaque bodies, routed by host and path to pools of servers."""
