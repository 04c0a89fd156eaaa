"""Socket layer of the ingress: translates socket events into `interface` events, and actions into I/O."""
