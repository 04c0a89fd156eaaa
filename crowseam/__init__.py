"""Folio: the whole gateway, data plane and control plane, as one program."""
