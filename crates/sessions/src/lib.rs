//! Sessions across routers and restarts: for each read of a session, from what position on a host may answer it.
//! No I/O, no clock, no threads: whoever owns it tells what happened and when, and carries out [`asks::Action`]s.
//!
//! Each router keeps the last acked commit of each session that wrote through it ([`marks::Marks`]). A read asks all
//! routers of the tier, after it has arrived, and waits for all of their answers ([`asks::Asks`]). Where one is
//! missing in time it asks for more, never less: the read is then a fresh read. A router that has started anew
//! raises a floor under all sessions instead of remembering. `docs/design/sessions.md` weighs this against others.

pub mod asks;
pub mod marks;
