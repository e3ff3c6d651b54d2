"""Runs several processes of the program against emulated peers, with faults on the links between them."""
