"""Many VMs as objects on one clock, before model engines that only count.

What decides is the gateway's own code; the network, the callers and the engines are
models. A run of 195 VMs and 37 engines takes some seconds, so that a rule on load can
be tried on many seeds before it is tried on a real fleet.
"""
