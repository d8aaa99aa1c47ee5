"""Adapter to the users' platform: its names and formats for calls, headers and bodies.

It decodes calls, headers and bodies into the types of the rest of the package and encodes them
back; decisions and state belong to the rest of the package.
"""
