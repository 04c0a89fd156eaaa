"""What servers report of themselves: a mergeable register, its repair and its acknowledgement."""
