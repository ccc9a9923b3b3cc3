"""HTTP/1.1 on an event loop, parsed by httptools, with failures told apart."""
