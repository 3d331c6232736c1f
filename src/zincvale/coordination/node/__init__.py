"""The node's state machine: its lease, its long poll, its peers, and whether it may serve.

Owns the machine that a data-plane process drives, and the rule by which a node that reaches no core
goes on serving.

May import every package of coordination but `core`, of which it uses the messages only.

Read in this order: `partition_guard`, whose docstring has the proof; `machine`, from `handle` on.
"""
