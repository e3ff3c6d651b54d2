"""Several real processes of the program among model endpoints, with faults on every link between them."""
