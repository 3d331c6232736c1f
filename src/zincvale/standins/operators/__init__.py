"""The operators: scripted changes of the intent, sent to the cores over HTTP.

Order to read: `script` (the file and the orders it makes) and `retry` (what follows a response),
both pure; `core_client` (HTTP); `runner` (sends the orders and journals the responses).

May import the modules at the top of `zincvale.standins`, no other sub-package.
"""
