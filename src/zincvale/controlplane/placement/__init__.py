"""Placement: decides which server holds which model and adapter, and plans moves in a calendar.

The package contains the decisions and their tables and does no input or output: inputs and effects
are typed (`events`), and time and randomness are passed in. It may import `zincvale.model` only;
the daemons feed it inputs and carry out its effects. The design is in docs/design-placement.md.

Inputs (`controller.PlacementController.handle`) are applied to the tables at once. At each tick,
the systems of `controller.SYSTEMS`, which are functions over all tables, run in this order:

1. `expire_leadership`, `expire_nodes`, `expire_overdue_orders` : expire what was not renewed in
   time.
2. `apply_declarations`, `complete_takeover` : apply changed declarations, and decide whether loads
   may be ordered yet.
3. `review_items` : compute the desired replicas of each changed item and queue the shortages.
4. `unload_undeclared`, `plan_loads`, `prefetch` : plan moves for surplus and missing replicas.
5. `order_unloads`, `order_loads` : issue the orders, and check each limit again.
6. `track_drains`, `report_unserved`, `request_statuses` : end complete drains, log what is
   requested and not served, and request statuses that decisions depend on.
7. `trim_history`, `publish_changes` : publish the rows of the topic `moves` and the draining
   replicas.

Suggested reading order:

- Rows: `items`, `servers`, `stores`, `moves`, `config`; measurements: `demand`, `unserved`,
  `load_times`, `disk_copies`.
- State: `state` has all tables; its indexes and queues are `calendar`, `reviews`, `shortages`,
  `unplaced`, `unserved_items`, `undeclared`, `free_memory`, `server_index`, `drain_table`,
  `prefetch_state`.
- Inputs: `apply_intent`, `apply_status`, `reported_replicas`, `apply_demand`, `order_responses`,
  `leadership`; `order_confirmation` has the rules for orders whose outcome is not known.
- Decisions: `replica_value`, `fairness`, `desired_replicas`, `load_candidates`, `choose_server`,
  `eviction`, `victim_groups`, `load_moves`, `plan_loads`, `plan_unloads`, `prefetch`,
  `order_obstacles`, `dispatch`, `drains`, `move_completion`.
- Output: `events`, `report_unserved`, `publication`, `move_row_codec`, `draining_row_codec`,
  `log_events`.
"""
