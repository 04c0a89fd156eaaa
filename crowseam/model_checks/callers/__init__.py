"""Model check of request and response matching, over the real gateway and controllers."""
