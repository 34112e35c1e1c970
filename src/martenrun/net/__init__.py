"""One selector loop on one thread, with TCP connections and HTTP/1.1 on both sides of it."""
