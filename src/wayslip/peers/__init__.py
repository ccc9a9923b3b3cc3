"""Communication between daemons: frames, calls, membership, gossip."""
