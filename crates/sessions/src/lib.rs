//! Sessions across routers and restarts: for each read of a session, the log position that a host must have
//! reached to answer it. No I/O, no clock, no threads: the owner reports what happened and when, and
//! carries out [`requests::Action`]s.
//!
//! Each router keeps the position of the last acknowledged commit of each session that wrote through it
//! ([`positions::SessionPositions`]). When a read has arrived, the router asks all other routers of the tier
//! for theirs and waits for all replies ([`requests::PositionRequests`]). If a reply does not arrive in time,
//! the read requires more, never less: it becomes a fresh read. A router that has restarted raises the floor
//! of the positions of all sessions, as it has lost those that it stored. `docs/design/sessions.md` compares
//! this with the alternatives.

mod peer_set;
pub mod positions;
pub mod requests;
mod token_bucket;
