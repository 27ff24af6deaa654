"""A virtual-time simulation of queues and upstreams under the product's decisions."""
