"""Everything that knows how the users' platform names and writes things.

It decodes calls, headers and bodies into the product's types and encodes them back; decisions and
state are in the product.
"""
