//! Forms of the state service: keys and versions, transactions, leases, watches.
