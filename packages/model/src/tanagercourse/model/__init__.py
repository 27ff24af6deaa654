"""A virtual-time model of queues and upstreams that runs the decisions."""
