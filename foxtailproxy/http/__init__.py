"""HTTP/1.1 for calls: client and server connections on a C parser."""
