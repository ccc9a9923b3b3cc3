"""The way of a request: admit, choose an endpoint, attempt, relay, account.

`requests.Requests` is the entry point; the other modules are its steps.
"""
