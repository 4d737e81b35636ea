//! When an endpoint that sends nothing counts as silent.
//!
//! A silent endpoint is not a dead one: an engine whose memory runs out puts runs off and goes on with them
//! later, and a busy one is merely slow. So a silence never ends an attempt by itself. It is the moment to look
//! for another endpoint, and only once that one is sure to take the request is the first one given up.
//!
//! A silence is made of several pauses, each with a timer of its own, and a pause counts once however long it
//! was. A node that stood still for seconds finds its timer due before it has read what came meanwhile, so one
//! timer for the whole silence would take its own standstill for the endpoint's.

/// Pauses in a row that make a silence.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    needed: u32,
    pauses: u32,
}

impl Silence {
    /// A silence of so many pauses; a new one begins with whatever comes.
    pub fn of(needed: u32) -> Self {
        Self { needed, pauses: 0 }
    }

    /// Notes a pause; true if a silence is full with it, and again after as many more.
    pub fn pause(&mut self) -> bool {
        self.pauses += 1;
        self.pauses.is_multiple_of(self.needed)
    }
}
