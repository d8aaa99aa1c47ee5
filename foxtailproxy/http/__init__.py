"""HTTP/1.1 on the call path: connections for both sides, over a C parser."""
