"""HTTP/1.1 client, pool and server on an event loop, parsed by httptools."""
