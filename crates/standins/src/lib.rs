//! Small stand-ins for engines, plain services and the platform.
//!
//! Each keeps the published side of its interface and fails on order, so that tests and the
//! demo need nothing else. None is meant to be fast or complete.

pub mod engine;
pub mod log;
pub mod orders;
pub mod reply;
pub mod service;
pub mod text;
pub mod vms;
