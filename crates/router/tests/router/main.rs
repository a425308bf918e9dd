//! The router as a program, between scripted hosts, a scripted list service and plain clients.

mod list_outage;
mod list_watch;
mod races;
mod service;
#[path = "../stand_in/mod.rs"]
mod stand_in;
mod surplus;
