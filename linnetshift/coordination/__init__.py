"""What many nodes choose without a word between them, so that their choices add up; pure, told of time."""
