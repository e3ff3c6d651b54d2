"""The endpoint list as data: its JSON document, its entries, and the names that they refer to."""
