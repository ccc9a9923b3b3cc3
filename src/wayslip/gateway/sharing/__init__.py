"""What instances know, and how they exchange it with each other and the store.

`view.EndpointView` holds what is known of endpoints, `placement.Placement` the
exchange with the lease holder, and `facts` the messages.
"""
