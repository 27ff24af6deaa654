"""The entry instance: answers look-ups and steers requests to upstreams."""
