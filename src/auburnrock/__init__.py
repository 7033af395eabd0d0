"""auburnrock: a router for servers that own keys exclusively.

The public interface for embedding:

* `auburnrock.engine`: the decision logic. It does no input or output, reads no
  clock and draws no random numbers: typed events and a time go in, typed
  actions come out.
* `auburnrock.client`: a client that keeps the owner table and sends each
  request straight to the owner of its key.
* `auburnrock.errors`: the closed list of error kinds.
"""
