"""Adapter to one platform: its names, formats and calls. It decides nothing.

It owns the platform's external words (JSON fields, headers, settings), which stay as the
platform writes them, and translates them at once. It may import the daemons and the packages
whose dialects it implements: `controlplane.documents`, `controlplane.directory`,
`dataplane.forwarding`.

Read in this order (docs/design-platform.md has the table of dialects): `main` (which daemon a
role starts), `settings` and `settings_watch`, `operators` (`OperatorDialect`), `servers`
(`ServerListDialect`, `ServerOrders`), `callers` (`ForwardingDialect`).
"""
