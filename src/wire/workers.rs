//! Forms that workers send and receive: heartbeats, commands, probes.
