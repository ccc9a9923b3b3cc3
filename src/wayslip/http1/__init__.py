"""HTTP/1.1 on an event loop: client, connection pool and server."""
