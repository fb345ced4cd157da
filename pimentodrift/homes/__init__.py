"""Keeps requests inside the regions that their route and their workspace allow.

`decisions` combines and compares limits, `limits` applies them to the statements of
sessions, `requests` to those of the HTTP interface, `enforcement` rolls back
transactions that a new limit no longer allows, and `sampling` learns a distant
primary's log position for reads that must not be sent there.
"""
