"""Several processes of the program in one world of stand-ins, with faults on every link between them."""
