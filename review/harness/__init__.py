"""Stand-ins and process control shared by the review's scripts."""
