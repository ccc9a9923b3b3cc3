"""Links between daemons: frames, calls, membership and gossip."""
