"""Network layer: a single-threaded selector loop, TCP streams, and HTTP/1.1 client and server."""
