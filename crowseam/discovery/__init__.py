"""What servers report of themselves: a mergeable registry, its repair and its acknowledgement."""
