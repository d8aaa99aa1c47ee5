"""Features, their steps, and small fakes at the interfaces."""
