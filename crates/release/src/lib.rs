//! Release calendar: a rotation waits until every render and rebuild of its title is on record.
