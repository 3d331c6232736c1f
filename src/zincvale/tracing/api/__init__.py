"""The trace API of one member, and the text that the command line shows for its responses.

Owns the JSON of traces, searches and estimates. Imports every package of tracing and `service`;
none of them imports it: daemons that serve HTTP add `http.trace_api_routes` themselves.

Read in this order: `query` (JSON bodies), `estimates` (weighted statistics), `http` (handlers);
`render` and `explain` turn a response into text for a terminal.
"""
