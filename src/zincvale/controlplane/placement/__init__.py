"""Placement: which server holds which model and adapter, as a calendar of moves.

The package owns the decision and its tables, and nothing of the outside: inputs and effects are
typed (`events`), time and randomness are passed in. It may import `zincvale.model` only; the
daemons feed it and carry out its effects. The design is in docs/design-placement.md.

Inputs (`controller.PlacementController.handle`) are applied to the tables at once; the systems of
`controller.SYSTEMS` run over the tables at each tick, in this order:

1. `expire_leadership`, `expire_nodes`, `expire_overdue_orders` : what was not renewed in time ends.
2. `apply_declarations`, `open_stores` : what is declared, and whether loads may be ordered yet.
3. `review_items` : how many replicas each changed item should have, and which are missing.
4. `unload_undeclared`, `plan_loads`, `prefetch` : planned moves for what is surplus or missing.
5. `order_unloads`, `order_loads` : orders, with each limit checked again at that moment.
6. `track_drains`, `request_statuses` : drains that ended, statuses that a decision waits for.
7. `trim_history`, `publish_changes` : the rows of the topic `moves`, and draining replicas.

Order to read:

- Rows: `items`, `servers`, `stores`, `moves`, `config`; measurements: `demand`, `load_times`,
  `disk_copies`.
- State: `state` holds every table; its indexes are `calendar`, `reviews`, `shortages`, `unplaced`,
  `undeclared`, `free_memory`, `server_index`, `drain_table`, `prefetch_state`.
- Inputs: `apply_intent`, `apply_status`, `apply_demand`, `order_responses`, `leadership`;
  `order_confirmation` has the rules for orders whose outcome is not known.
- Decisions: `replica_value`, `desired_replicas`, `load_candidates`, `choose_server`, `eviction`,
  `load_moves`, `plan_loads`, `plan_unloads`, `prefetch`, `dispatch`, `drains`, `move_completion`.
- Output: `events`, `publication`, `move_row_codec`, `draining_row_codec`, `log_events`.
"""
