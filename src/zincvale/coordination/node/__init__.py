"""The node's state machine: its lease, its long poll, its peers, and whether it may serve.

Owns the machine that a data-plane process drives, and the rule that decides how long a node that
reaches no core may continue to serve.

May import every package of coordination except `core`, from which it uses only the messages.

Read in this order: `partition_guard`, whose docstring proves that rule; `machine`, starting at
`handle`.
"""
