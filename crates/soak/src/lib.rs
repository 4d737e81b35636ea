//! A soak of real node processes: random faults from outside, and checks of the promises from what
//! callers and endpoints see.
//!
//! Nodes are processes on loopback addresses of their own. The store and the endpoints are
//! stand-ins in this process, behind proxies that delay, silence or reset. Nodes read no time of
//! day for their decisions and have no storage, so neither is disturbed.

pub mod closes;
pub mod crowd;
pub mod excuse;
pub mod fault;
pub mod gate;
pub mod innocence;
pub mod keys;
pub mod node;
pub mod pressure;
pub mod processor;
pub mod proxy;
pub mod reach;
pub mod returns;
pub mod run;
pub mod site;
pub mod traffic;
