"""Adapter to one platform: its names, formats and calls. It contains no decisions.

It owns the platform's external names (JSON fields, headers, settings), keeps their spelling, and
converts them immediately to the project's own types. It may import the daemons and the packages
whose dialects it implements: `controlplane.documents`, `controlplane.directory`,
`dataplane.forwarding`.

Read in this order (docs/design-platform.md has the table of dialects): `main` (which daemon a
role starts), `settings` and `settings_watch`, `operators` (`OperatorDialect`), `servers`
(`ServerListDialect`, `ServerOrders`), `callers` (`ForwardingDialect`).
"""
