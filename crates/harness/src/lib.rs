//! Whole sites of processes on loopback, for tests and experiments.
//!
//! Scenarios are written in Rhai, which the project already has for policies: a script starts
//! a site, sends requests, orders faults, and waits for conditions instead of sleeping.

pub mod process;
pub mod script;
pub mod site;
