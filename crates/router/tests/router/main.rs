//! The router as a program, between scripted hosts, a scripted list and plain clients.

mod moments;
mod outage;
mod service;
#[path = "../stand_in/mod.rs"]
mod stand_in;
mod watches;
